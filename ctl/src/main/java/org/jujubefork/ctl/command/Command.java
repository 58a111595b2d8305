package org.jujubefork.ctl.command;

import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.NotReachableException;

/** The implementation of a command. */
@FunctionalInterface
public interface Command {
    /**
     * Runs the command and returns the exit code of the process.
     *
     * @throws CommandException if the command fails for a local reason, such as wrong usage
     * @throws ApiException if the cell rejects a call
     * @throws NotReachableException if no entry responds
     * @throws InvalidMessageException if a response cannot be decoded
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    ExitCode run(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException;
}
