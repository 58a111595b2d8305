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
 * @param fetchedAtMillis when the configuration was last asked for
 * @param expectedBefore {@code expectedEntries} of the configuration that was in force before; 0 if
 *     there was none
 */
public record ConfigurationChecks(
        PVector<Long> probeRounds,
        long storeContactMillis,
        boolean verified,
        long fetchedAtMillis,
        int expectedBefore) {
    /** Nothing was checked. */
    static final ConfigurationChecks NONE =
            new ConfigurationChecks(TreePVector.empty(), Member.NEVER, false, Member.NEVER, 0);

    /** Rounds of probes of which answers are accepted; older ones have lost their validity. */
    private static final int PROBE_ROUNDS = 4;

    /** Returns when the last round of probes was sent. */
    long probedAtMillis() {
        return probeRounds.isEmpty() ? Member.NEVER : probeRounds.get(probeRounds.size() - 1);
    }

    /** Returns these checks after a round of probes. */
    ConfigurationChecks probed(long nowMillis) {
        PVector<Long> rounds = probeRounds.plus(nowMillis);
        PVector<Long> newest = rounds.size() > PROBE_ROUNDS ? rounds.minus(0) : rounds;
        return new ConfigurationChecks(
                newest, storeContactMillis, verified, fetchedAtMillis, expectedBefore);
    }

    /** Returns these checks after the store answered a read sent at {@code sentAtMillis}. */
    ConfigurationChecks storeContacted(long sentAtMillis) {
        long newest = Math.max(storeContactMillis, sentAtMillis);
        return new ConfigurationChecks(
                probeRounds, newest, verified, fetchedAtMillis, expectedBefore);
    }

    /** Returns these checks with the configuration known to be the one that a majority has. */
    ConfigurationChecks asVerified() {
        return new ConfigurationChecks(
                probeRounds, storeContactMillis, true, fetchedAtMillis, expectedBefore);
    }

    /** Returns these checks after the configuration was asked for. */
    ConfigurationChecks fetched(long nowMillis) {
        return new ConfigurationChecks(
                probeRounds, storeContactMillis, verified, nowMillis, expectedBefore);
    }

    /** Returns these checks after a configuration that expected {@code entries} was replaced. */
    ConfigurationChecks replacing(int entries) {
        return new ConfigurationChecks(
                probeRounds, storeContactMillis, verified, fetchedAtMillis, entries);
    }

    /** Returns these checks after a pause, before which no answer proves anything. */
    ConfigurationChecks resumed() {
        return new ConfigurationChecks(
                TreePVector.empty(), Member.NEVER, verified, fetchedAtMillis, expectedBefore);
    }
}
