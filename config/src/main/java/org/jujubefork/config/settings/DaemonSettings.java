package org.jujubefork.config.settings;

import java.util.List;

/**
 * The settings of one entry daemon. {@link DaemonSettingsReader} reads them from a file; {@link
 * DaemonSettingsSchema} declares bounds, defaults and effects.
 *
 * @param name the name of the entry, the same after a restart
 * @param region the region, which is also the site whose overlay applies
 * @param zone the availability zone
 * @param httpAddress where the daemon serves callers and operators
 * @param peerAddress where the daemon serves its peers
 * @param storeAddress the platform's store
 * @param vmListAddress the platform's VM list
 * @param seeds addresses of peers to contact first; may hold the own address
 * @param gossipIntervalMillis time between two rounds of gossip
 * @param suspectAfterMillis silence after which a peer is suspected
 * @param deadAfterMillis silence after which a peer counts as failed
 * @param configurationFreshnessMillis age of the last store contact up to which the configuration
 *     is fresh
 * @param probeValidityMillis how long a probe reply counts, from the time the probe was sent
 * @param leaseTtlMillis the lease that workers run tasks under
 * @param renewIntervalMillis time between two renewals of a worker's lease
 * @param vmListIntervalMillis time between two polls of the VM list
 * @param drainTimeoutMillis how long a stopping daemon waits for accepted requests
 * @param maxRequestBodyBytes largest body of a caller's request
 * @param maxAnswerBytes largest body of a response
 * @param eventQueueCapacity how many events may wait for the control thread
 */
public record DaemonSettings(
        String name,
        String region,
        String zone,
        HostPort httpAddress,
        HostPort peerAddress,
        HostPort storeAddress,
        HostPort vmListAddress,
        List<HostPort> seeds,
        long gossipIntervalMillis,
        long suspectAfterMillis,
        long deadAfterMillis,
        long configurationFreshnessMillis,
        long probeValidityMillis,
        long leaseTtlMillis,
        long renewIntervalMillis,
        long vmListIntervalMillis,
        long drainTimeoutMillis,
        int maxRequestBodyBytes,
        int maxAnswerBytes,
        int eventQueueCapacity) {
    /** Copies the seeds. */
    public DaemonSettings {
        seeds = List.copyOf(seeds);
    }
}
