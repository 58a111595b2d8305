package org.jujubefork.core.model;

/**
 * A worker in the VM list, which may be out of date.
 *
 * @param id identifier of the worker
 * @param address host and port of the worker's API
 * @param location region, availability zone and rack of its VM
 * @param capacity total capacity of the worker
 * @param slots maximum number of concurrent requests
 * @param leaving whether the worker is about to leave the fleet
 */
public record WorkerListing(
        WorkerId id,
        String address,
        Location location,
        Resources capacity,
        int slots,
        boolean leaving) {}
