package org.jujubefork.core.workflow;

import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * All control state of an entry.
 *
 * @param now the time of the newest event, in milliseconds of the monotonic clock
 * @param wallMillis the newest known Unix time in milliseconds
 * @param entry the name of this entry
 * @param processorMillicores the processor capacity of this entry in thousandths of a core
 * @param configuration the operators' configuration, if it is known
 * @param configurationConfirmedAt the latest time at which the configuration was known to be the
 *     newest in the store; -1 if none was read yet
 * @param leadership which entry leads
 * @param jobs the jobs that have not ended or whose final status is not stored yet, by identifier;
 *     empty if this entry does not lead
 * @param finished the jobs that have ended and whose final status is stored or being written, by
 *     identifier
 * @param workers the workers, by identifier
 * @param policies the scheduling policies that the settings of this entry select
 * @param evacuations the zones in which operators want no starts
 * @param teamLedger what each team has used and waits for
 * @param durations how long tasks really take
 * @param commitQueue the changes to write to the store
 * @param adviceRequests the requests to the advice service
 * @param teamBuckets the token buckets that measure the teams against their shares
 * @param backlogs the work that waits for free capacity
 * @param forecast which capacity is expected to become free when
 * @param waitingSteps the steps that waited after the last placement pass
 * @param recovery whether this term has learned of all runs of earlier terms
 * @param placementDue whether a placement pass is due, because something on which placement depends
 *     has changed
 * @param lastPlacementAt when the last placement pass ran
 * @param lastFleetCheckAt when the leases and commands of all workers were last checked
 */
public record WorkflowState(
        long now,
        long wallMillis,
        String entry,
        int processorMillicores,
        Optional<CellConfiguration> configuration,
        long configurationConfirmedAt,
        Leadership leadership,
        PMap<String, Job> jobs,
        PMap<String, FinishedJob> finished,
        PMap<String, WorkerNode> workers,
        SchedulingPolicies policies,
        Evacuations evacuations,
        TeamLedger teamLedger,
        LearnedDurations durations,
        CommitQueue commitQueue,
        AdviceRequests adviceRequests,
        TeamTokenBuckets teamBuckets,
        ServiceBacklogs backlogs,
        RoomForecast forecast,
        WaitingSteps waitingSteps,
        Recovery recovery,
        boolean placementDue,
        long lastPlacementAt,
        long lastFleetCheckAt) {
    /** Returns the state of an entry that has just started, with the default policies. */
    public static WorkflowState initial(String entry, int processorMillicores) {
        return initial(entry, processorMillicores, SchedulingPolicies.DEFAULT, Evacuations.NONE);
    }

    /**
     * Returns the state of an entry that has just started.
     *
     * @param evacuations no evacuated zones, with the bound that the settings give
     */
    public static WorkflowState initial(
            String entry,
            int processorMillicores,
            SchedulingPolicies policies,
            Evacuations evacuations) {
        return new WorkflowState(
                0,
                0,
                entry,
                processorMillicores,
                Optional.empty(),
                -1,
                Leadership.NONE,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                policies,
                evacuations,
                TeamLedger.EMPTY,
                LearnedDurations.NONE,
                CommitQueue.NONE,
                AdviceRequests.of(entry),
                TeamTokenBuckets.NONE,
                ServiceBacklogs.NONE,
                RoomForecast.NONE,
                WaitingSteps.NONE,
                Recovery.NONE,
                false,
                0,
                0);
    }

    /** Returns whether this entry leads and the store has confirmed this recently. */
    public boolean hasConfirmedLeadership() {
        return leadership.leads()
                && now - leadership.confirmedAt() < WorkflowLimits.MAX_CONFIRMATION_AGE_MILLIS;
    }

    /**
     * Returns whether new tasks may start on {@code worker}: it can take them, the store records it
     * as a worker in use, its zone is not evacuated, and its leases end in time if it is lost.
     */
    boolean isOpenForStarts(WorkerNode worker) {
        return commitQueue.isOpenForStarts(worker.id())
                && worker.isUsable(now)
                && evacuations.allowsStarts(worker.listing().zone(), now)
                && Fleet.areLeasesBounded(this, worker);
    }

    /**
     * Returns when the next tick is needed. A leader has to check its leases and commits often; a
     * follower needs only the regular ticks of the control loop and one for its next claim.
     */
    public long nextTickAt() {
        if (!leadership.leads()) {
            return Election.nextClaimAt(this);
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

    /**
     * Returns the minimum time between two placement passes; it grows with the number of jobs,
     * because a pass examines all jobs.
     */
    public long minPlacementIntervalMillis() {
        return WorkflowLimits.MIN_PLACEMENT_INTERVAL_MILLIS
                + jobs.size() / WorkflowLimits.JOBS_PER_EXTRA_INTERVAL_MILLI;
    }

    /** Returns the fencing token of the current leader, 0 if none is known. */
    public long fence() {
        return leadership.leaderRecord().map(LeaderRecord::revision).orElse(0L);
    }

    /** Returns the current term, 0 if none is known. */
    public long term() {
        return leadership.leaderRecord().map(LeaderRecord::term).orElse(0L);
    }

    /** Returns the queue of {@code job}, if the configuration still contains it. */
    public Optional<CellConfiguration.Queue> queueOf(Job job) {
        return configuration.flatMap(c -> c.queue(job.queue()));
    }

    /** Returns a copy with {@code at} as the time, unless it is earlier than the current time. */
    public WorkflowState withTime(long at) {
        Builder next = new Builder(this);
        next.now = Math.max(now, at);
        return next.build();
    }

    /** Returns a copy with {@code millis} as the Unix time. */
    public WorkflowState withWallTime(long millis) {
        Builder next = new Builder(this);
        next.wallMillis = millis;
        return next.build();
    }

    /**
     * Returns a copy with {@code newer} as the configuration in force, which was the newest in the
     * store at {@code since}.
     */
    public WorkflowState withConfiguration(Optional<CellConfiguration> newer, long since) {
        Builder next = new Builder(this);
        next.configuration = newer;
        next.configurationConfirmedAt = Math.max(configurationConfirmedAt, since);
        next.placementDue = true;
        return next.build();
    }

    /** Returns a copy with {@code other} as the leadership. */
    public WorkflowState with(Leadership other) {
        Builder next = new Builder(this);
        next.leadership = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the jobs. */
    public WorkflowState withJobs(PMap<String, Job> other) {
        Builder next = new Builder(this);
        next.jobs = other;
        return next.build();
    }

    /** Returns a copy with {@code job} added or replaced. */
    public WorkflowState with(Job job) {
        return withJobs(jobs.plus(job.id(), job));
    }

    /** Returns a copy with {@code other} as the finished jobs. */
    public WorkflowState withFinished(PMap<String, FinishedJob> other) {
        Builder next = new Builder(this);
        next.finished = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the workers. */
    public WorkflowState withWorkers(PMap<String, WorkerNode> other) {
        Builder next = new Builder(this);
        next.workers = other;
        return next.build();
    }

    /** Returns a copy with {@code worker} added or replaced. */
    public WorkflowState with(WorkerNode worker) {
        return withWorkers(workers.plus(worker.id(), worker));
    }

    /** Returns a copy with {@code other} as the evacuations. */
    public WorkflowState with(Evacuations other) {
        Builder next = new Builder(this);
        next.evacuations = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the ledger of the teams. */
    public WorkflowState with(TeamLedger other) {
        Builder next = new Builder(this);
        next.teamLedger = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the learned durations. */
    public WorkflowState with(LearnedDurations other) {
        Builder next = new Builder(this);
        next.durations = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the commit queue. */
    public WorkflowState with(CommitQueue other) {
        Builder next = new Builder(this);
        next.commitQueue = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the advice requests. */
    public WorkflowState with(AdviceRequests other) {
        Builder next = new Builder(this);
        next.adviceRequests = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the token buckets. */
    public WorkflowState with(TeamTokenBuckets other) {
        Builder next = new Builder(this);
        next.teamBuckets = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the backlogs. */
    public WorkflowState with(ServiceBacklogs other) {
        Builder next = new Builder(this);
        next.backlogs = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the forecast of free capacity. */
    public WorkflowState with(RoomForecast other) {
        Builder next = new Builder(this);
        next.forecast = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the waiting steps. */
    public WorkflowState with(WaitingSteps other) {
        Builder next = new Builder(this);
        next.waitingSteps = other;
        return next.build();
    }

    /** Returns a copy with {@code other} as the recovery. */
    public WorkflowState with(Recovery other) {
        Builder next = new Builder(this);
        next.recovery = other;
        return next.build();
    }

    /** Returns a copy with {@code due} as whether a placement pass is due. */
    public WorkflowState withPlacementDue(boolean due) {
        Builder next = new Builder(this);
        next.placementDue = due;
        return next.build();
    }

    /** Returns a copy in which no placement pass is due and the last pass ran now. */
    public WorkflowState withPlacementDone() {
        Builder next = new Builder(this);
        next.placementDue = false;
        next.lastPlacementAt = now;
        return next.build();
    }

    /** Returns a copy in which all workers were checked now. */
    public WorkflowState withFleetChecked() {
        Builder next = new Builder(this);
        next.lastFleetCheckAt = now;
        return next.build();
    }

    /**
     * Returns a copy in which {@code job} is marked as changed, so that the next commit writes it.
     */
    public WorkflowState withDirtyJob(String job) {
        return with(commitQueue.markDirty(job));
    }

    /** Mutable copy of the components, used to build a changed instance. */
    private static final class Builder {
        private long now;
        private long wallMillis;
        private String entry;
        private int processorMillicores;
        private Optional<CellConfiguration> configuration;
        private long configurationConfirmedAt;
        private Leadership leadership;
        private PMap<String, Job> jobs;
        private PMap<String, FinishedJob> finished;
        private PMap<String, WorkerNode> workers;
        private SchedulingPolicies policies;
        private Evacuations evacuations;
        private TeamLedger teamLedger;
        private LearnedDurations durations;
        private CommitQueue commitQueue;
        private AdviceRequests adviceRequests;
        private TeamTokenBuckets teamBuckets;
        private ServiceBacklogs backlogs;
        private RoomForecast forecast;
        private WaitingSteps waitingSteps;
        private Recovery recovery;
        private boolean placementDue;
        private long lastPlacementAt;
        private long lastFleetCheckAt;

        Builder(WorkflowState from) {
            this.now = from.now();
            this.wallMillis = from.wallMillis();
            this.entry = from.entry();
            this.processorMillicores = from.processorMillicores();
            this.configuration = from.configuration();
            this.configurationConfirmedAt = from.configurationConfirmedAt();
            this.leadership = from.leadership();
            this.jobs = from.jobs();
            this.finished = from.finished();
            this.workers = from.workers();
            this.policies = from.policies();
            this.evacuations = from.evacuations();
            this.teamLedger = from.teamLedger();
            this.durations = from.durations();
            this.commitQueue = from.commitQueue();
            this.adviceRequests = from.adviceRequests();
            this.teamBuckets = from.teamBuckets();
            this.backlogs = from.backlogs();
            this.forecast = from.forecast();
            this.waitingSteps = from.waitingSteps();
            this.recovery = from.recovery();
            this.placementDue = from.placementDue();
            this.lastPlacementAt = from.lastPlacementAt();
            this.lastFleetCheckAt = from.lastFleetCheckAt();
        }

        WorkflowState build() {
            return new WorkflowState(
                    now,
                    wallMillis,
                    entry,
                    processorMillicores,
                    configuration,
                    configurationConfirmedAt,
                    leadership,
                    jobs,
                    finished,
                    workers,
                    policies,
                    evacuations,
                    teamLedger,
                    durations,
                    commitQueue,
                    adviceRequests,
                    teamBuckets,
                    backlogs,
                    forecast,
                    waitingSteps,
                    recovery,
                    placementDue,
                    lastPlacementAt,
                    lastFleetCheckAt);
        }
    }
}
