package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.control.State;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * Finds out whether an operator's change is accepted: whether enough entries report it that no
 * majority is left which could confirm an older version.
 */
public final class ConfigurationAcceptance {
    private ConfigurationAcceptance() {}

    /**
     * How far a version has come.
     *
     * @param version the version
     * @param inForceOn names of entries that report this version or a higher one
     * @param pending names of known entries that do not
     * @param required how many entries have to report it
     */
    public record Status(
            long version, PSortedSet<String> inForceOn, PSortedSet<String> pending, int required) {
        /** Returns whether the version is accepted. */
        public boolean isAccepted() {
            return inForceOn.size() >= required;
        }
    }

    /**
     * Returns the status of {@code version}. Rows of dead members count: a member that has had the
     * version in force goes back to no lower one, and a new run of it asks a majority first.
     */
    public static Status status(State state, long version) {
        PSortedSet<String> inForce = TreePSet.empty();
        PSortedSet<String> pending = TreePSet.empty();
        String self = state.self().id().name();
        long ownVersion = state.configuration().map(Configuration::version).orElse(0L);
        if (ownVersion >= version) {
            inForce = inForce.plus(self);
        } else {
            pending = pending.plus(self);
        }
        for (Member member : state.membership().members().values()) {
            String name = member.row().id().name();
            if (member.row().configurationVersion() >= version) {
                inForce = inForce.plus(name);
            } else {
                pending = pending.plus(name);
            }
        }
        return new Status(version, inForce, pending, requiredReportCount(state));
    }

    /**
     * Returns how many entries have to report a version.
     *
     * <p>If a change alters {@code expectedEntries}, entries that do not have it yet still count
     * their majority against the old number. So many have to report that the others are fewer than
     * that majority. For a change by one this is the new majority.
     */
    static int requiredReportCount(State state) {
        Optional<Configuration> configuration = state.configuration();
        if (configuration.isEmpty()) {
            return Integer.MAX_VALUE;
        }
        int expected = configuration.get().expectedEntries();
        int majority = configuration.get().majority();
        int previouslyExpected = state.membership().previousExpectedEntries();
        if (previouslyExpected == 0) {
            return majority;
        }
        int previousMajority = previouslyExpected / 2 + 1;
        return Math.max(majority, Math.max(expected, previouslyExpected) - previousMajority + 1);
    }
}
