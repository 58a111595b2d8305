package org.jujubefork.core.model;

/**
 * A worker as the VM list shows it, which lags behind.
 *
 * @param id the worker
 * @param address host and port of the worker's interface
 * @param location where it stands
 * @param capacity what it holds in all
 * @param slots how many requests it serves at a time
 * @param leaving whether it is about to leave
 */
public record WorkerListing(
        WorkerId id,
        String address,
        Location location,
        Resources capacity,
        int slots,
        boolean leaving) {}
