package org.jujubefork.core.placement;

import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/** Work that waits for a worker. */
public sealed interface QueuedWork {
    /** Returns the team that is charged. */
    TeamId team();

    /** Returns the queue through which it entered. */
    QueueId queue();

    /** Returns its kind. */
    WorkKind kind();

    /** Returns the declared size of one task. */
    Resources size();

    /** Returns since when it waits, in milliseconds of this entry's clock. */
    long waitingSinceMillis();

    /** Returns the lane in which it waits. */
    Lane lane();

    /**
     * A request that waits.
     *
     * @param origin where the answer goes
     * @param team the team that is charged
     * @param queue the queue
     * @param kind lookup or command
     * @param size the declared size
     * @param urgent whether it may use the reserved part of workers
     * @param waitingSinceMillis since when it waits
     * @param deadlineMillis when it is too late to start it
     * @param refusals how often a worker of this shard had no room for it after all
     * @param returnable whether it goes back to the entry of its caller when the team's budget in
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
            int refusals,
            boolean returnable)
            implements QueuedWork {
        @Override
        public Lane lane() {
            return Lane.of(kind, urgent);
        }

        /** Returns this request after a worker had no room for it. */
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
                    refusals + 1,
                    returnable);
        }
    }

    /**
     * A task of a batch job or a replica of a service.
     *
     * @param job the job
     * @param index the task's index
     * @param attempt the attempt, from 1
     * @param team the team that is charged
     * @param queue the queue
     * @param kind batch or service
     * @param size the declared size
     * @param payload the input
     * @param waitingSinceMillis since when it waits
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
     * A job that needs all its tasks at once.
     *
     * @param job the job
     * @param tasks how many tasks
     * @param attempt the attempt, from 1
     * @param team the team that is charged
     * @param queue the queue
     * @param size the declared size of one task
     * @param payload the input
     * @param waitingSinceMillis since when it waits
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
