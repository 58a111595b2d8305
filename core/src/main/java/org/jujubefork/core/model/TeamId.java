package org.jujubefork.core.model;

/**
 * Identifies a team.
 *
 * @param value the identifier, not blank
 */
public record TeamId(String value) implements Comparable<TeamId> {
    /** Checks that the identifier is usable in log lines and store keys. */
    public TeamId {
        Identifiers.check("team id", value);
    }

    /** Returns the identifier {@code value}. */
    public static TeamId of(String value) {
        return new TeamId(value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
