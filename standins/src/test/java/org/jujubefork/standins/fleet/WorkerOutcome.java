package org.jujubefork.standins.fleet;

/** What a worker answers to a command. */
sealed interface WorkerOutcome {
    record Accepted() implements WorkerOutcome {}

    /**
     * The command had no effect.
     *
     * @param status HTTP status code
     * @param error error code of the protocol
     */
    record Refused(int status, String error, String message) implements WorkerOutcome {}
}
