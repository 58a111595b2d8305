package org.jujubefork.core.membership;

import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.control.State;

/**
 * Decides whether the configuration in force on this entry is recent enough to check API keys.
 *
 * <p>A change counts as accepted only when a majority of the expected entries have it in force. An
 * entry may therefore use its configuration while the store confirms it, or while a majority of the
 * entries answers that it has no newer configuration. An entry that is cut off from both cannot
 * know whether a key was revoked and has to reject requests.
 */
public final class ConfigurationFreshness {
    private ConfigurationFreshness() {}

    /**
     * Returns whether keys may be checked against the configuration in force; false if no
     * configuration is in force.
     */
    public static boolean isFresh(State state) {
        return state.configuration()
                .map(c -> isStoreContactFresh(state) || isConfirmedByMajority(state, c))
                .orElse(false);
    }

    /** Returns whether the last store contact is within the freshness period. */
    public static boolean isStoreContactFresh(State state) {
        long ageMillis = state.nowMillis() - state.membership().storeContactMillis();
        return ageMillis <= state.timing().configurationFreshnessMillis();
    }

    /**
     * Returns whether a majority of the expected entries has no newer configuration.
     *
     * <p>This entry counts itself only once its configuration is verified, so that an entry that
     * has just started needs a majority made up of other entries. If more entries are live than
     * expected, a majority of the live entries is required, because a majority of the smaller,
     * expected number need not intersect with the majority that accepted a change.
     */
    static boolean isConfirmedByMajority(State state, Configuration configuration) {
        long otherCount = confirmingMemberCount(state, configuration.version());
        long selfCount = state.membership().verified() ? 1 : 0;
        long liveCount =
                1
                        + state.membership().members().values().stream()
                                .filter(m -> Membership.isAlive(state, m))
                                .count();
        long expectedCount = Math.max(configuration.expectedEntries(), liveCount);
        return otherCount + selfCount >= expectedCount / 2 + 1;
    }

    /**
     * Returns how many other entries have answered a recent probe with {@code version} or an older
     * version.
     */
    static long confirmingMemberCount(State state, long version) {
        long oldestValidMillis = state.nowMillis() - state.timing().probeValidityMillis();
        return state.membership().members().values().stream()
                .filter(
                        m ->
                                m.lastAnsweredProbeMillis() >= oldestValidMillis
                                        && m.probedVersion() <= version)
                .count();
    }
}
