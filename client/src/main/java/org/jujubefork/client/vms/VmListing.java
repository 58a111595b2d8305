package org.jujubefork.client.vms;

import org.jujubefork.client.http.Address;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.Resources;

/**
 * One VM of the platform's list.
 *
 * @param id the worker's identifier, or the entry's name
 * @param address where the VM's service listens
 * @param role what the VM is for
 * @param location region, zone and rack; the rack is empty for an entry
 * @param capacity what tasks may use; zero for an entry
 * @param slots how many requests run at once; zero for an entry
 * @param state whether the VM stays in service
 */
public record VmListing(
        String id,
        Address address,
        VmRole role,
        Location location,
        Resources capacity,
        int slots,
        VmState state) {
    /** Checks capacity and slots. */
    public VmListing {
        if (capacity.isNegative()) {
            throw new IllegalArgumentException("capacity must not be negative: " + capacity);
        }
        if (slots < 0) {
            throw new IllegalArgumentException("slots must not be negative: " + slots);
        }
    }
}
