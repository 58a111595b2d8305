package org.jujubefork.client.vms;

/** What a VM is for. */
public enum VmRole {
    /** Runs tasks. */
    WORKER,
    /** Runs the scheduler's entry process. */
    ENTRY
}
