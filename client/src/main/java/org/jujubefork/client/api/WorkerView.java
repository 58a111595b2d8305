package org.jujubefork.client.api;

/**
 * A worker as seen by the owner of its shard.
 *
 * @param id identifier of the worker
 * @param zone availability zone of the worker
 * @param rack rack of the worker
 * @param address address of the worker as {@code host:port}
 * @param shard shard to which the worker belongs
 * @param state {@code ready}, {@code pending}, {@code unreachable}, {@code quarantined} or {@code
 *     leaving}
 * @param reason reason why the worker is not ready, empty if it is
 * @param capacity total resources available to tasks
 * @param allocated resources allocated to placed requests and tasks
 * @param slots maximum number of concurrent requests
 * @param slotsUsed number of request slots in use
 * @param running number of running requests and tasks
 * @param leaseAgeMillis time since the last lease renewal was sent, in milliseconds
 */
public record WorkerView(
        String id,
        String zone,
        String rack,
        String address,
        String shard,
        String state,
        String reason,
        ResourcesView capacity,
        ResourcesView allocated,
        int slots,
        int slotsUsed,
        int running,
        long leaseAgeMillis) {}
