package org.jujubefork.core.workflow;

import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * All control state of an entry.
 *
 * @param now the time of the newest event, in milliseconds of the monotonic clock
 * @param wallMillis the newest known Unix time
 * @param entry the name of this entry
 * @param configuration the operators' configuration, if it is known
 * @param configurationConfirmedAt when the store last showed that it is the newest; -1 before
 * @param leadership who leads
 * @param jobs jobs that are not forgotten, by identifier; only the leader has any
 * @param finished jobs that have ended, by identifier
 * @param workers the workers, by identifier
 * @param commitQueue writes to the store
 * @param adviceRequests calls to the advice service
 * @param teamBuckets what the teams have used of their shares
 * @param backlogs how much work waits for room
 * @param placementDue whether something changed that placement depends on
 * @param lastPlacementAt when placement last ran
 */
public record WorkflowState(
        long now,
        long wallMillis,
        String entry,
        Optional<CellConfiguration> configuration,
        long configurationConfirmedAt,
        Leadership leadership,
        PMap<String, Job> jobs,
        PMap<String, FinishedJob> finished,
        PMap<String, WorkerNode> workers,
        CommitQueue commitQueue,
        AdviceRequests adviceRequests,
        TeamTokenBuckets teamBuckets,
        ServiceBacklogs backlogs,
        boolean placementDue,
        long lastPlacementAt) {
    /** Returns the state of an entry that has just started. */
    public static WorkflowState initial(String entry) {
        return new WorkflowState(
                0,
                0,
                entry,
                Optional.empty(),
                -1,
                Leadership.NONE,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                CommitQueue.NONE,
                AdviceRequests.of(entry),
                TeamTokenBuckets.NONE,
                ServiceBacklogs.NONE,
                false,
                0);
    }

    /** Returns whether this entry leads and the store has confirmed it lately. */
    public boolean hasConfirmedLeadership() {
        return leadership.leads()
                && now - leadership.confirmedAt() < WorkflowLimits.MAX_CONFIRMATION_AGE_MILLIS;
    }

    /**
     * Returns when the reducer wants the next tick: a leader looks at its leases and writes often,
     * a follower has nothing that is due earlier than the regular ticks.
     */
    public long nextTickAt() {
        if (!leadership.leads()) {
            return Long.MAX_VALUE;
        }
        long nextTick = now + WorkflowLimits.LEADER_TICK_MILLIS;
        if (hasConfirmedLeadership()
                && commitQueue.inFlight().isEmpty()
                && !commitQueue.dirtyJobs().isEmpty()) {
            nextTick =
                    Math.min(
                            nextTick,
                            commitQueue.sentAt() + WorkflowLimits.MIN_COMMIT_INTERVAL_MILLIS);
        }
        if (hasConfirmedLeadership() && placementDue) {
            nextTick = Math.min(nextTick, lastPlacementAt + minPlacementIntervalMillis());
        }
        return nextTick;
    }

    /** Returns the least time between two passes of the placement; a pass looks at all jobs. */
    public long minPlacementIntervalMillis() {
        return WorkflowLimits.MIN_PLACEMENT_INTERVAL_MILLIS
                + jobs.size() / WorkflowLimits.JOBS_PER_EXTRA_INTERVAL_MILLI;
    }

    /** Returns the fencing token of this entry, which leads. */
    public long fence() {
        return leadership.leaderRecord().map(LeaderRecord::revision).orElse(0L);
    }

    /** Returns the current term. */
    public long term() {
        return leadership.leaderRecord().map(LeaderRecord::term).orElse(0L);
    }

    /** Returns the queue of {@code job}, if the configuration still has it. */
    public Optional<CellConfiguration.Queue> queueOf(Job job) {
        return configuration.flatMap(c -> c.queue(job.queue()));
    }

    /** Returns this state at {@code at}. */
    public WorkflowState withTime(long at) {
        Builder next = new Builder(this);
        next.now = Math.max(now, at);
        return next.build();
    }

    /** Returns this state with another Unix time. */
    public WorkflowState withWallTime(long millis) {
        Builder next = new Builder(this);
        next.wallMillis = millis;
        return next.build();
    }

    /** Returns this state with {@code newer} in force, known to be the newest at {@code since}. */
    public WorkflowState withConfiguration(Optional<CellConfiguration> newer, long since) {
        Builder next = new Builder(this);
        next.configuration = newer;
        next.configurationConfirmedAt = Math.max(configurationConfirmedAt, since);
        next.placementDue = true;
        return next.build();
    }

    /** Returns this state with another leadership. */
    public WorkflowState with(Leadership other) {
        Builder next = new Builder(this);
        next.leadership = other;
        return next.build();
    }

    /** Returns this state with other jobs. */
    public WorkflowState withJobs(PMap<String, Job> other) {
        Builder next = new Builder(this);
        next.jobs = other;
        return next.build();
    }

    /** Returns this state with {@code job} added or replaced. */
    public WorkflowState with(Job job) {
        return withJobs(jobs.plus(job.id(), job));
    }

    /** Returns this state with other ended jobs. */
    public WorkflowState withFinished(PMap<String, FinishedJob> other) {
        Builder next = new Builder(this);
        next.finished = other;
        return next.build();
    }

    /** Returns this state with other workers. */
    public WorkflowState withWorkers(PMap<String, WorkerNode> other) {
        Builder next = new Builder(this);
        next.workers = other;
        return next.build();
    }

    /** Returns this state with {@code worker} added or replaced. */
    public WorkflowState with(WorkerNode worker) {
        return withWorkers(workers.plus(worker.id(), worker));
    }

    /** Returns this state with other writes. */
    public WorkflowState with(CommitQueue other) {
        Builder next = new Builder(this);
        next.commitQueue = other;
        return next.build();
    }

    /** Returns this state with other calls to the advice service. */
    public WorkflowState with(AdviceRequests other) {
        Builder next = new Builder(this);
        next.adviceRequests = other;
        return next.build();
    }

    /** Returns this state with other shares. */
    public WorkflowState with(TeamTokenBuckets other) {
        Builder next = new Builder(this);
        next.teamBuckets = other;
        return next.build();
    }

    /** Returns this state with another pressure. */
    public WorkflowState with(ServiceBacklogs other) {
        Builder next = new Builder(this);
        next.backlogs = other;
        return next.build();
    }

    /** Returns this state with placement due, or not. */
    public WorkflowState withPlacementDue(boolean due) {
        Builder next = new Builder(this);
        next.placementDue = due;
        return next.build();
    }

    /** Returns this state after a pass of the placement. */
    public WorkflowState withPlacementDone() {
        Builder next = new Builder(this);
        next.placementDue = false;
        next.lastPlacementAt = now;
        return next.build();
    }

    /** Returns this state with {@code job} to be written to the store. */
    public WorkflowState withDirtyJob(String job) {
        return with(commitQueue.markDirty(job));
    }

    /** Holds the components of a copy while they are changed. */
    private static final class Builder {
        private long now;
        private long wallMillis;
        private String entry;
        private Optional<CellConfiguration> configuration;
        private long configurationConfirmedAt;
        private Leadership leadership;
        private PMap<String, Job> jobs;
        private PMap<String, FinishedJob> finished;
        private PMap<String, WorkerNode> workers;
        private CommitQueue commitQueue;
        private AdviceRequests adviceRequests;
        private TeamTokenBuckets teamBuckets;
        private ServiceBacklogs backlogs;
        private boolean placementDue;
        private long lastPlacementAt;

        Builder(WorkflowState from) {
            this.now = from.now();
            this.wallMillis = from.wallMillis();
            this.entry = from.entry();
            this.configuration = from.configuration();
            this.configurationConfirmedAt = from.configurationConfirmedAt();
            this.leadership = from.leadership();
            this.jobs = from.jobs();
            this.finished = from.finished();
            this.workers = from.workers();
            this.commitQueue = from.commitQueue();
            this.adviceRequests = from.adviceRequests();
            this.teamBuckets = from.teamBuckets();
            this.backlogs = from.backlogs();
            this.placementDue = from.placementDue();
            this.lastPlacementAt = from.lastPlacementAt();
        }

        WorkflowState build() {
            return new WorkflowState(
                    now,
                    wallMillis,
                    entry,
                    configuration,
                    configurationConfirmedAt,
                    leadership,
                    jobs,
                    finished,
                    workers,
                    commitQueue,
                    adviceRequests,
                    teamBuckets,
                    backlogs,
                    placementDue,
                    lastPlacementAt);
        }
    }
}
