package org.jujubefork.client.vms;

/** Whether a VM stays in service. */
public enum VmState {
    /** In service. */
    LIVE,
    /** About to be removed; gets no new work. */
    LEAVING
}
