package org.jujubefork.core.model;

import java.util.Comparator;

/**
 * Identifies one incarnation of an entry, that is, one run of its process.
 *
 * @param name the name from the settings, which stays the same after a restart
 * @param incarnation increases with each start of the process
 */
public record EntryId(String name, long incarnation) implements Comparable<EntryId> {
    private static final Comparator<EntryId> ORDER =
            Comparator.comparing(EntryId::name).thenComparingLong(EntryId::incarnation);

    /** Checks that the name is a valid identifier. */
    public EntryId {
        Identifiers.check("entry name", name);
    }

    /** Returns the identifier {@code name#incarnation}. */
    public static EntryId of(String name, long incarnation) {
        return new EntryId(name, incarnation);
    }

    /**
     * Parses an identifier in the form that {@link #toString()} returns.
     *
     * @throws IllegalArgumentException if {@code text} has no {@code #} or no number after it
     */
    public static EntryId parse(String text) {
        int separatorIndex = text.lastIndexOf('#');
        if (separatorIndex < 0) {
            throw new IllegalArgumentException("entry id without incarnation: " + text);
        }
        return new EntryId(
                text.substring(0, separatorIndex),
                Long.parseLong(text.substring(separatorIndex + 1)));
    }

    @Override
    public int compareTo(EntryId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
