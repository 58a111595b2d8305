package org.jujubefork.config.settings;

import java.util.List;

/**
 * The settings of one entry daemon. {@link DaemonSettingsReader} reads them from a file; {@link
 * DaemonSettingsSchema} declares bounds and defaults.
 *
 * @param name the name of the entry, which must not change on a restart
 * @param region the region of the VM, which is also the site whose configuration overlay applies
 * @param zone the availability zone of the VM
 * @param httpAddress the listen address for callers and operators
 * @param peerAddress the listen address for the other entries
 * @param storeAddress the address of the platform's store
 * @param vmListAddress the address of the platform's VM list
 * @param seeds peer addresses to contact at startup; may contain {@code peerAddress}
 * @param gossipIntervalMillis time between two rounds of gossip
 * @param suspectAfterMillis time since the last contact after which a peer is suspected
 * @param deadAfterMillis time since the last contact after which a peer is considered failed and
 *     its shards are taken over
 * @param configurationFreshnessMillis time since the last contact with the store up to which the
 *     configuration is considered fresh
 * @param probeValidityMillis how long a probe reply is valid, from the time the probe was sent
 * @param leaseTtlMillis duration of the lease under which a worker runs tasks
 * @param renewIntervalMillis time between two renewals of a worker's lease, at most half of {@code
 *     leaseTtlMillis}
 * @param vmListIntervalMillis time between two polls of the VM list
 * @param drainTimeoutMillis how long a stopping daemon waits for accepted requests to complete
 * @param maxRequestBodyBytes maximum size of the body of a caller's request
 * @param maxAnswerBytes maximum size of the body of a response to a caller
 * @param eventQueueCapacity maximum number of events queued for the control thread
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
    /** Copies the list. */
    public DaemonSettings {
        seeds = List.copyOf(seeds);
    }
}
