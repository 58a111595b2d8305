package org.jujubefork.client.worker;

import java.util.List;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkerId;

/** What is known after a request to own a worker. */
public sealed interface LeaseResult {
    /**
     * The worker obeys the epoch now.
     *
     * @param worker the worker's identifier
     * @param incarnation changes with each restart of the worker
     * @param revision the worker's name for this state of its running tasks, 0 if it gives none
     * @param capacity what tasks may use
     * @param slots how many requests run at once
     * @param leaving whether the worker is about to be removed
     * @param running tasks that run now
     * @param ended tasks that ended and are not acknowledged
     */
    record Granted(
            WorkerId worker,
            long incarnation,
            long revision,
            Resources capacity,
            int slots,
            boolean leaving,
            List<RunningTask> running,
            List<EndedTask> ended)
            implements LeaseResult {
        /** Copies the lists. */
        public Granted {
            running = List.copyOf(running);
            ended = List.copyOf(ended);
        }
    }

    /**
     * The worker obeys a higher epoch.
     *
     * @param current the epoch that the worker obeys
     */
    record Refused(Epoch current) implements LeaseResult {}

    /**
     * No connection was established.
     *
     * @param reason the failure, for logs
     */
    record NotConnected(String reason) implements LeaseResult {}

    /**
     * The worker may have taken the epoch.
     *
     * @param reason the failure, for logs
     */
    record Unknown(String reason) implements LeaseResult {}
}
