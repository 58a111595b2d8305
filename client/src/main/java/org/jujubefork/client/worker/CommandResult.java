package org.jujubefork.client.worker;

import org.jujubefork.core.model.Epoch;

/** Outcome of a stop, checkpoint or throttle command. */
public sealed interface CommandResult {
    /** The worker accepted the command. */
    record Accepted() implements CommandResult {}

    /** The task is not running on the worker. */
    record NoSuchTask() implements CommandResult {}

    /**
     * The worker rejected the command because it belongs to another epoch.
     *
     * @param current epoch that the worker currently accepts
     */
    record Refused(Epoch current) implements CommandResult {}

    /**
     * No connection was established.
     *
     * @param reason description of the failure, for logs
     */
    record NotConnected(String reason) implements CommandResult {}

    /**
     * The command may have taken effect. All commands can safely be sent again.
     *
     * @param reason description of the failure, for logs
     */
    record Unknown(String reason) implements CommandResult {}
}
