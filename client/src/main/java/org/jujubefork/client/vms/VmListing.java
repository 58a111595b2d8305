package org.jujubefork.client.vms;

import org.jujubefork.client.http.Address;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.Resources;

/**
 * One element of the platform's VM list.
 *
 * @param id worker identifier or entry name, depending on the role
 * @param address address on which the VM's service listens
 * @param role whether the VM is a worker or an entry
 * @param location region, zone and rack; the rack is empty for an entry
 * @param capacity resources available to tasks; zero for an entry
 * @param slots maximum number of concurrent requests; zero for an entry
 * @param state whether the VM is in service or about to be removed
 */
public record VmListing(
        String id,
        Address address,
        VmRole role,
        Location location,
        Resources capacity,
        int slots,
        VmState state) {
    /** Rejects a negative capacity and a negative number of slots. */
    public VmListing {
        if (capacity.isNegative()) {
            throw new IllegalArgumentException("capacity must not be negative: " + capacity);
        }
        if (slots < 0) {
            throw new IllegalArgumentException("slots must not be negative: " + slots);
        }
    }
}
