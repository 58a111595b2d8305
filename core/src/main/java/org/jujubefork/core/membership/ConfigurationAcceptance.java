package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.control.State;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * Determines whether an operator's configuration change is accepted. A change is accepted once
 * enough entries have it in force that the remaining entries cannot form a majority that confirms
 * an older version.
 */
public final class ConfigurationAcceptance {
    private ConfigurationAcceptance() {}

    /**
     * The rollout status of a configuration version.
     *
     * @param version the version
     * @param inForceOn names of the entries that report this version or a higher version
     * @param pending names of the known entries that report a lower version
     * @param required the number of entries that have to report the version
     */
    public record Status(
            long version, PSortedSet<String> inForceOn, PSortedSet<String> pending, int required) {
        /** Returns whether the version is accepted. */
        public boolean isAccepted() {
            return inForceOn.size() >= required;
        }
    }

    /**
     * Returns the status of {@code version}. Rows of dead members count, because a member never
     * returns to a lower version: after a restart, it uses its configuration only after the store
     * or a majority has confirmed it.
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
     * Returns how many entries have to report a version; {@link Integer#MAX_VALUE} while no
     * configuration is in force.
     *
     * <p>If a change alters {@code expectedEntries}, entries that do not have the change yet still
     * compute their majority from the old number. The entries that have not reported the version
     * must then be fewer than the old majority. If the number changes by one, the result equals the
     * new majority.
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
