package org.jujubefork.client.api;

/**
 * A worker as its shard's owner sees it.
 *
 * @param id the worker
 * @param zone its availability zone
 * @param rack its rack
 * @param address its address
 * @param shard its shard
 * @param state ready, pending, unreachable, quarantined or leaving
 * @param reason why it is not ready, empty otherwise
 * @param capacity what it can hold
 * @param allocated what is placed on it
 * @param slots its request slots
 * @param slotsUsed request slots in use
 * @param running running requests and tasks
 * @param leaseAgeMillis time since the last renewal was sent, in milliseconds
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
