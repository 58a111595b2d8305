package org.jujubefork.client.vms;

/** Role of a VM in the cell. */
public enum VmRole {
    /** Runs tasks. */
    WORKER,
    /** Runs the scheduler daemon. */
    ENTRY
}
