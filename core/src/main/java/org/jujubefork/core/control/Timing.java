package org.jujubefork.core.control;

/**
 * Intervals and time limits of an entry, all in milliseconds.
 *
 * @param gossipIntervalMillis time between two rounds of gossip
 * @param suspectAfterMillis silence after which an entry gets no new requests
 * @param deadAfterMillis silence after which the shards of an entry are taken over
 * @param configurationFreshnessMillis how long a store contact proves that the configuration is up
 *     to date
 * @param probeValidityMillis how long the answer to a probe counts, from the time when the probe
 *     was sent
 * @param leaseTtlMillis how long a worker lets its tasks run without a renewal
 * @param renewIntervalMillis time between two renewals of a worker's lease
 */
public record Timing(
        long gossipIntervalMillis,
        long suspectAfterMillis,
        long deadAfterMillis,
        long configurationFreshnessMillis,
        long probeValidityMillis,
        long leaseTtlMillis,
        long renewIntervalMillis) {
    /** The values of docs/design.md. */
    public static final Timing DEFAULT =
            new Timing(1_000, 3_000, 5_000, 4_000, 3_000, 30_000, 10_000);

    /** The part of the TTL that is added to it for clocks that run at different rates. */
    private static final double CLOCK_DRIFT_MARGIN_FRACTION = 0.1;

    /** Checks that renewals are sent often enough. */
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
     * Returns the time after the last renewal was sent at which a worker has surely stopped its
     * tasks.
     */
    public long leaseExpiryWithMarginMillis() {
        return leaseTtlMillis + (long) (leaseTtlMillis * CLOCK_DRIFT_MARGIN_FRACTION);
    }
}
