package org.jujubefork.client.vms;

/** Service state of a VM. */
public enum VmState {
    /** In service. */
    LIVE,
    /** About to be removed; receives no new work. */
    LEAVING
}
