package org.jujubefork.ctl.command;

import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.NotReachableException;

/** The action of one command. */
@FunctionalInterface
public interface Command {
    /**
     * Runs the command.
     *
     * @throws CommandException if it ends early for a reason found on this side
     * @throws ApiException if the cell refuses a call
     * @throws NotReachableException if no entry answers
     * @throws InvalidMessageException if an answer cannot be read
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    ExitCode run(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException;
}
