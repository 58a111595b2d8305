package org.jujubefork.core.placement;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/** A request, task or gang that waits for a worker. */
public sealed interface QueuedWork {
    /** Returns the team whose budget is charged. */
    TeamId team();

    /** Returns the queue to which the work was submitted. */
    QueueId queue();

    /** Returns the kind of work, which determines its lane and policies. */
    WorkKind kind();

    /** Returns the declared size of one task. */
    Resources size();

    /** Returns when the work started to wait, in milliseconds of this entry's clock. */
    long waitingSinceMillis();

    /** Returns the lane in which the work waits. */
    Lane lane();

    /**
     * A queued request.
     *
     * @param origin where the answer is sent
     * @param team the team whose budget is charged
     * @param queue the queue
     * @param kind lookup or command
     * @param size the declared size
     * @param urgent whether it may use the reserved part of workers
     * @param waitingSinceMillis when the work started to wait
     * @param deadlineMillis the time from which it must no longer be started
     * @param refusalCount how often a worker of this shard rejected its start for lack of capacity
     * @param returnable whether it is returned to the entry of its caller when the team's budget in
     *     this shard is used up
     */
    record Request(
            RequestOrigin origin,
            TeamId team,
            QueueId queue,
            WorkKind kind,
            Resources size,
            boolean urgent,
            long waitingSinceMillis,
            long deadlineMillis,
            int refusalCount,
            boolean returnable)
            implements QueuedWork {
        @Override
        public Lane lane() {
            return Lane.of(kind, urgent);
        }

        /** Returns this request with one more rejection for lack of capacity counted. */
        Request withRefusal() {
            return new Request(
                    origin,
                    team,
                    queue,
                    kind,
                    size,
                    urgent,
                    waitingSinceMillis,
                    deadlineMillis,
                    refusalCount + 1,
                    returnable);
        }
    }

    /**
     * A task of a batch job or a replica of a service.
     *
     * @param job the job
     * @param index the index of the task in the job
     * @param attempt the attempt, from 1
     * @param team the team whose budget is charged
     * @param queue the queue
     * @param kind batch or service
     * @param size the declared size
     * @param payload the input of the task
     * @param waitingSinceMillis when the work started to wait
     */
    record Task(
            JobId job,
            int index,
            int attempt,
            TeamId team,
            QueueId queue,
            WorkKind kind,
            Resources size,
            String payload,
            long waitingSinceMillis)
            implements QueuedWork {
        @Override
        public Lane lane() {
            return Lane.of(kind, false);
        }
    }

    /**
     * A job whose tasks must all start at once.
     *
     * @param job the job
     * @param tasks the number of tasks
     * @param attempt the attempt, from 1
     * @param team the team whose budget is charged
     * @param queue the queue
     * @param size the declared size of one task
     * @param payload the input of the tasks
     * @param waitingSinceMillis when the work started to wait
     */
    record Gang(
            JobId job,
            int tasks,
            int attempt,
            TeamId team,
            QueueId queue,
            Resources size,
            String payload,
            long waitingSinceMillis)
            implements QueuedWork {
        @Override
        public WorkKind kind() {
            return WorkKind.GANG;
        }

        @Override
        public Lane lane() {
            return Lane.GANG;
        }
    }
}
