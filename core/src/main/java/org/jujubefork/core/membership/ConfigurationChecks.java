package org.jujubefork.core.membership;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Records the checks that an entry has made to verify that its configuration is up to date.
 *
 * @param probeRounds send times of the latest rounds of probes, the most recent last
 * @param storeContactMillis send time of the most recent read that the store answered; {@link
 *     Member#NEVER} if none
 * @param verified whether the store or a majority has confirmed the configuration at least once
 *     since this entry started
 * @param fetchRequestedAtMillis when a configuration was last requested from another entry; {@link
 *     Member#NEVER} if never
 * @param previousExpectedEntries {@code expectedEntries} of the configuration that was in force
 *     before the current one; 0 if there was none
 */
public record ConfigurationChecks(
        PVector<Long> probeRounds,
        long storeContactMillis,
        boolean verified,
        long fetchRequestedAtMillis,
        int previousExpectedEntries) {
    /** The checks of an entry that has just started. */
    static final ConfigurationChecks NONE =
            new ConfigurationChecks(TreePVector.empty(), Member.NEVER, false, Member.NEVER, 0);

    /**
     * Maximum number of rounds that are recorded. Only answers to recorded rounds are accepted;
     * answers to older rounds have expired.
     */
    private static final int MAX_PROBE_ROUNDS = 4;

    /** Returns when the last round of probes was sent; {@link Member#NEVER} if none was. */
    long lastProbeRoundMillis() {
        return probeRounds.isEmpty() ? Member.NEVER : probeRounds.get(probeRounds.size() - 1);
    }

    /** Returns these checks with a round of probes sent at {@code nowMillis}. */
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

    /** Returns these checks with the configuration marked as verified. */
    ConfigurationChecks asVerified() {
        return new ConfigurationChecks(
                probeRounds,
                storeContactMillis,
                true,
                fetchRequestedAtMillis,
                previousExpectedEntries);
    }

    /** Returns these checks after a configuration was requested at {@code nowMillis}. */
    ConfigurationChecks withFetchRequest(long nowMillis) {
        return new ConfigurationChecks(
                probeRounds, storeContactMillis, verified, nowMillis, previousExpectedEntries);
    }

    /** Returns these checks after a configuration with {@code expectedEntries} was replaced. */
    ConfigurationChecks withPreviousExpectedEntries(int expectedEntries) {
        return new ConfigurationChecks(
                probeRounds, storeContactMillis, verified, fetchRequestedAtMillis, expectedEntries);
    }

    /**
     * Returns these checks after a pause of this entry, without the probe rounds and the store
     * contact from before the pause, because they no longer prove that the configuration is up to
     * date.
     */
    ConfigurationChecks afterPause() {
        return new ConfigurationChecks(
                TreePVector.empty(),
                Member.NEVER,
                verified,
                fetchRequestedAtMillis,
                previousExpectedEntries);
    }
}
