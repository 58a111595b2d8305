package org.jujubefork.client.worker;

import org.jujubefork.core.model.Epoch;

/** What is known after a stop, checkpoint or throttle command. */
public sealed interface CommandResult {
    /** The worker did as told. */
    record Accepted() implements CommandResult {}

    /** The worker does not run the task. */
    record NoSuchTask() implements CommandResult {}

    /**
     * The worker obeys another epoch.
     *
     * @param current the epoch that the worker obeys
     */
    record Refused(Epoch current) implements CommandResult {}

    /**
     * No connection was established.
     *
     * @param reason the failure, for logs
     */
    record NotConnected(String reason) implements CommandResult {}

    /**
     * The command may have taken effect. All commands can be sent again.
     *
     * @param reason the failure, for logs
     */
    record Unknown(String reason) implements CommandResult {}
}
