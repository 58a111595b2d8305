package org.jujubefork.core.workflow;

import java.util.Optional;
import org.jujubefork.core.workflow.WorkflowEvent.ClaimResult;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** Builds the state of a new leader from the contents of the store. */
final class Takeover {
    private final WorkflowState state;
    private final ClaimResult.Won won;

    private Takeover(WorkflowState state, ClaimResult.Won won) {
        this.state = state;
        this.won = won;
    }

    /** Returns {@code state} as the state of the leader that has {@code won} the claim. */
    static WorkflowState lead(WorkflowState state, ClaimResult.Won won) {
        return new Takeover(state, won).lead();
    }

    private WorkflowState lead() {
        PMap<String, FinishedJob> finished = finishedJobs();
        PMap<String, Job> jobs = HashTreePMap.empty();
        PVector<String> unremovedJobs = TreePVector.empty();
        for (Job job : won.snapshot().jobs()) {
            if (finished.containsKey(job.id())) {
                unremovedJobs = unremovedJobs.plus(job.id());
            } else {
                jobs = jobs.plus(job.id(), recovered(job));
            }
        }
        PMap<String, WorkerNode> workers = workers();
        SilentWorkers silent = recordOfPreviousTerm();
        for (String worker : silent.workers()) {
            if (workers.containsKey(worker)) {
                workers = workers.plus(worker, withKnownRuns(workers.get(worker)));
            }
        }
        WorkflowState next =
                state.with(state.leadership().leading(won.leader(), state.now()))
                        .withJobs(jobs)
                        .withFinished(finished)
                        .withWorkers(workers)
                        .with(commitQueue(workers, silent, unremovedJobs, finished))
                        .with(state.adviceRequests().cleared())
                        .with(WaitingSteps.NONE)
                        .with(TeamLedger.EMPTY)
                        .with(LearnedDurations.NONE)
                        .with(RoomForecast.NONE)
                        .with(new Recovery(state.now(), false))
                        .withPlacementDue(true);
        return adoptRecordedRuns(next, silent);
    }

    private PMap<String, FinishedJob> finishedJobs() {
        PMap<String, FinishedJob> finished = HashTreePMap.empty();
        for (FinishedJob finishedJob : won.snapshot().finished()) {
            finished = finished.plus(finishedJob.id(), finishedJob);
        }
        return finished;
    }

    /** Returns {@code job} as read from the store, with its age on the clock of this entry. */
    private Job recovered(Job job) {
        Job recovered = job.with(job.acceptance().onLocalClock(state.now(), state.wallMillis()));
        // Workers may report runs of occurrences that became due before the takeover.
        return Schedules.withDueOccurrences(recovered, state.wallMillis());
    }

    private PMap<String, WorkerNode> workers() {
        PMap<String, WorkerNode> workers = HashTreePMap.empty();
        for (WorkerNode.Listing listing : won.snapshot().fleet()) {
            workers =
                    workers.plus(
                            listing.id(),
                            WorkerNode.recorded(
                                    listing,
                                    recordedIncarnation(listing),
                                    leaseEnd(listing, state.now())));
        }
        return workers;
    }

    /**
     * Returns when the leases of a recorded worker have expired. The store confirms no earlier
     * leader after the claim, so earlier leaders grant none that expire later. A worker that has
     * restarted may have got a longer one from an order for its earlier incarnation.
     */
    private static long leaseEnd(WorkerNode.Listing listing, long now) {
        return listing.born() == 0
                ? WorkflowLimits.maxLeaseEnd(now)
                : WorkflowLimits.addLeaseMargin(
                        now + WorkflowLimits.MAX_LEASE_AFTER_CONFIRMATION_MILLIS);
    }

    private Incarnation recordedIncarnation(WorkerNode.Listing listing) {
        return listing.born() == 0
                ? Incarnation.unfenced(0, won.leader().revision() - 1)
                : Incarnation.recorded(listing.born());
    }

    private static WorkerNode withKnownRuns(WorkerNode node) {
        return node.with(node.contact().withKnownRuns());
    }

    /**
     * Returns the record of silent workers if the previous leader has written it. An older record
     * lacks the runs that the previous leader has started.
     */
    private SilentWorkers recordOfPreviousTerm() {
        SilentWorkers silent = won.snapshot().silentWorkers();
        return silent.term() == won.leader().term() - 1 ? silent : SilentWorkers.NONE;
    }

    private CommitQueue commitQueue(
            PMap<String, WorkerNode> workers,
            SilentWorkers silent,
            PVector<String> unremovedJobs,
            PMap<String, FinishedJob> finished) {
        return CommitQueue.NONE.recovered(
                won.leader().revision(),
                recordedBorn(workers),
                silent.workers(),
                unremovedJobs,
                buckets(finished));
    }

    private static PMap<String, Long> recordedBorn(PMap<String, WorkerNode> workers) {
        PMap<String, Long> born = HashTreePMap.empty();
        for (WorkerNode worker : workers.values()) {
            born = born.plus(worker.id(), worker.listing().born());
        }
        return born;
    }

    private static PMap<Long, PMap<String, FinishedJob>> buckets(
            PMap<String, FinishedJob> finished) {
        PMap<Long, PMap<String, FinishedJob>> buckets = HashTreePMap.empty();
        for (FinishedJob job : finished.values()) {
            buckets = CommitWriter.withFinishedJob(buckets, job);
        }
        return buckets;
    }

    /**
     * Charges the recorded runs of silent workers to these workers, and regards their tasks as
     * running, until the worker answers or its leases have expired.
     */
    private static WorkflowState adoptRecordedRuns(WorkflowState state, SilentWorkers silent) {
        WorkflowState next = state;
        for (String worker : silent.workers()) {
            PMap<TaskKey, Long> runs = silent.runs().get(worker);
            for (TaskKey task : runs.keySet()) {
                next = adoptRecordedRun(next, worker, task, runs.get(task));
            }
        }
        return next;
    }

    private static WorkflowState adoptRecordedRun(
            WorkflowState state, String worker, TaskKey key, long runNumber) {
        WorkerNode node = state.workers().get(worker);
        Job job = state.jobs().get(key.job());
        if (node == null) {
            return state;
        }
        boolean isKnownTask = job != null && job.hasTask(key);
        if (!isKnownTask || job.task(key).phase() == Task.Phase.DONE) {
            return state.with(node.withCharge(key, chargeToStop(state, node, key, runNumber)));
        }
        Task task = job.task(key);
        WorkerNode.Charge charge =
                new WorkerNode.Charge(
                        runNumber,
                        job.step(key.stepKey()).chargedCapacity(),
                        Optional.of(job.team()),
                        // Before the first renewal of this leader, whose answer shows whether the
                        // run is active. It may be sent in the present millisecond.
                        state.now() - 1,
                        false,
                        state.now());
        WorkflowState next = state.with(node.withCharge(key, charge));
        return runNumber > task.runNumber()
                ? next.with(job.with(key, task.asRunning(worker, runNumber)))
                : next;
    }

    /**
     * Returns the charge of a recorded run that is of no use any more, for example because its job
     * was cancelled. It occupies its worker and counts against limits until it is stopped.
     */
    private static WorkerNode.Charge chargeToStop(
            WorkflowState state, WorkerNode node, TaskKey key, long runNumber) {
        Job job = state.jobs().get(key.job());
        boolean isKnownTask = job != null && job.hasTask(key);
        return new WorkerNode.Charge(
                runNumber,
                isKnownTask ? job.step(key.stepKey()).chargedCapacity() : node.listing().capacity(),
                isKnownTask ? Optional.of(job.team()) : Optional.empty(),
                -1,
                true,
                state.now());
    }
}
