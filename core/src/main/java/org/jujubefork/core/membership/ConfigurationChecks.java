package org.jujubefork.core.membership;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What an entry has done to find out whether its configuration is up to date.
 *
 * @param probeRounds send times of the last rounds of probes, the newest last
 * @param storeContactMillis send time of the newest read that the store answered
 * @param verified whether this run has once had a store contact or a majority of answers from
 *     others
 * @param fetchRequestedAtMillis when the configuration was last asked for
 * @param previousExpectedEntries {@code expectedEntries} of the configuration that was in force
 *     before; 0 if there was none
 */
public record ConfigurationChecks(
        PVector<Long> probeRounds,
        long storeContactMillis,
        boolean verified,
        long fetchRequestedAtMillis,
        int previousExpectedEntries) {
    /** Nothing was checked. */
    static final ConfigurationChecks NONE =
            new ConfigurationChecks(TreePVector.empty(), Member.NEVER, false, Member.NEVER, 0);

    /** Rounds of probes of which answers are accepted; older ones have lost their validity. */
    private static final int MAX_PROBE_ROUNDS = 4;

    /** Returns when the last round of probes was sent. */
    long lastProbeRoundMillis() {
        return probeRounds.isEmpty() ? Member.NEVER : probeRounds.get(probeRounds.size() - 1);
    }

    /** Returns these checks after a round of probes. */
    ConfigurationChecks withProbeRound(long nowMillis) {
        PVector<Long> rounds = probeRounds.plus(nowMillis);
        PVector<Long> newest = rounds.size() > MAX_PROBE_ROUNDS ? rounds.minus(0) : rounds;
        return new ConfigurationChecks(
                newest,
                storeContactMillis,
                verified,
                fetchRequestedAtMillis,
                previousExpectedEntries);
    }

    /** Returns these checks after the store answered a read sent at {@code sentAtMillis}. */
    ConfigurationChecks withStoreContact(long sentAtMillis) {
        long newest = Math.max(storeContactMillis, sentAtMillis);
        return new ConfigurationChecks(
                probeRounds, newest, verified, fetchRequestedAtMillis, previousExpectedEntries);
    }

    /** Returns these checks with the configuration known to be the one that a majority has. */
    ConfigurationChecks asVerified() {
        return new ConfigurationChecks(
                probeRounds,
                storeContactMillis,
                true,
                fetchRequestedAtMillis,
                previousExpectedEntries);
    }

    /** Returns these checks after the configuration was asked for. */
    ConfigurationChecks withFetchRequest(long nowMillis) {
        return new ConfigurationChecks(
                probeRounds, storeContactMillis, verified, nowMillis, previousExpectedEntries);
    }

    /**
     * Returns these checks after a configuration that expected {@code expectedEntries} was
     * replaced.
     */
    ConfigurationChecks withPreviousExpectedEntries(int expectedEntries) {
        return new ConfigurationChecks(
                probeRounds, storeContactMillis, verified, fetchRequestedAtMillis, expectedEntries);
    }

    /** Returns these checks after a pause, before which no answer proves anything. */
    ConfigurationChecks afterPause() {
        return new ConfigurationChecks(
                TreePVector.empty(),
                Member.NEVER,
                verified,
                fetchRequestedAtMillis,
                previousExpectedEntries);
    }
}
