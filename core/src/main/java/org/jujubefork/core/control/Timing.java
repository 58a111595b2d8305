package org.jujubefork.core.control;

/**
 * Intervals and timeouts of an entry, all in milliseconds.
 *
 * @param gossipIntervalMillis time between two gossip rounds
 * @param suspectAfterMillis time without a heartbeat after which an entry receives no new requests
 * @param deadAfterMillis time without a heartbeat after which the shards of an entry are taken over
 * @param configurationFreshnessMillis how long a contact with the store proves that the
 *     configuration is up to date
 * @param probeValidityMillis how long the reply to a probe is valid, from the time when the probe
 *     was sent
 * @param leaseTtlMillis time without a renewal after which a worker stops its tasks
 * @param renewIntervalMillis time between two renewals of the lease on a worker
 */
public record Timing(
        long gossipIntervalMillis,
        long suspectAfterMillis,
        long deadAfterMillis,
        long configurationFreshnessMillis,
        long probeValidityMillis,
        long leaseTtlMillis,
        long renewIntervalMillis) {
    /** Default values, as documented in docs/design.md. */
    public static final Timing DEFAULT =
            new Timing(1_000, 3_000, 5_000, 4_000, 3_000, 30_000, 10_000);

    /**
     * Margin, as a fraction of the TTL, that is added to the TTL because clocks run at different
     * rates.
     */
    private static final double CLOCK_DRIFT_MARGIN_FRACTION = 0.1;

    /** Checks that the TTL covers at least two renewal intervals. */
    public Timing {
        if (renewIntervalMillis * 2 > leaseTtlMillis) {
            throw new IllegalArgumentException(
                    "renewIntervalMillis must be at most half of leaseTtlMillis: "
                            + renewIntervalMillis
                            + " of "
                            + leaseTtlMillis);
        }
    }

    /**
     * Returns the time after the last renewal was sent from which the owner may assume that the
     * worker has stopped its tasks: the TTL plus a margin for clock drift.
     */
    public long leaseExpiryWithMarginMillis() {
        return leaseTtlMillis + (long) (leaseTtlMillis * CLOCK_DRIFT_MARGIN_FRACTION);
    }
}
