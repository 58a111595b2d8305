package org.jujubefork.standins.fleet;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.jujubefork.client.worker.EndedTask;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Everything that a worker keeps.
 *
 * @param incarnation changes with each restart
 * @param epoch the highest epoch seen; kept over restarts, because it fences stale owners
 * @param leaseEndsNanos monotonic time at which the lease lapses; empty without a lease
 * @param failStarts whether each task fails at its start
 * @param ended tasks that ended and are not acknowledged
 * @param known every task that was started or stopped in this incarnation; none of them is started
 *     again
 * @param log what answers to renewals showed of the running tasks
 */
record WorkerState(
        FleetFile.Worker spec,
        long incarnation,
        Optional<Epoch> epoch,
        OptionalLong leaseEndsNanos,
        boolean leaving,
        boolean failStarts,
        PMap<TaskId, SimulatedTask> running,
        PMap<TaskId, EndedTask> ended,
        PSet<TaskId> known,
        ReportLog log) {
    static WorkerState initial(FleetFile.Worker spec, long incarnation) {
        return new WorkerState(
                spec,
                incarnation,
                Optional.empty(),
                OptionalLong.empty(),
                false,
                false,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePSet.empty(),
                ReportLog.empty());
    }

    Resources used() {
        Resources sum = Resources.ZERO;
        for (SimulatedTask task : running.values()) {
            sum = sum.plus(task.spec().size());
        }
        return sum;
    }

    long runningRequests() {
        return running.values().stream().filter(t -> t.spec().kind().isRequest()).count();
    }

    /** Returns when time alone changes this state, if it does. */
    OptionalLong nextDeadline() {
        LongStream ends =
                running.values().stream()
                        .mapToLong(SimulatedTask::endsNanos)
                        .filter(n -> n != SimulatedTask.NEVER);
        return LongStream.concat(ends, leaseEndsNanos.stream()).min();
    }

    WorkerState withLease(Epoch newEpoch, OptionalLong newLeaseEndsNanos) {
        return new WorkerState(
                spec,
                incarnation,
                Optional.of(newEpoch),
                newLeaseEndsNanos,
                leaving,
                failStarts,
                running,
                ended,
                known,
                log);
    }

    WorkerState withoutLease() {
        return new WorkerState(
                spec,
                incarnation,
                epoch,
                OptionalLong.empty(),
                leaving,
                failStarts,
                running,
                ended,
                known,
                log);
    }

    WorkerState withTasks(
            PMap<TaskId, SimulatedTask> newRunning, PMap<TaskId, EndedTask> newEnded) {
        return new WorkerState(
                spec,
                incarnation,
                epoch,
                leaseEndsNanos,
                leaving,
                failStarts,
                newRunning,
                newEnded,
                known,
                log);
    }

    WorkerState withFaults(boolean newLeaving, boolean newFailStarts) {
        return new WorkerState(
                spec,
                incarnation,
                epoch,
                leaseEndsNanos,
                newLeaving,
                newFailStarts,
                running,
                ended,
                known,
                log);
    }

    WorkerState knowing(TaskId task) {
        return new WorkerState(
                spec,
                incarnation,
                epoch,
                leaseEndsNanos,
                leaving,
                failStarts,
                running,
                ended,
                known.plus(task),
                log);
    }

    WorkerState restarted() {
        return new WorkerState(
                spec,
                incarnation + 1,
                epoch,
                OptionalLong.empty(),
                leaving,
                failStarts,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePSet.empty(),
                log.restarted());
    }

    WorkerState withLog(ReportLog newLog) {
        return new WorkerState(
                spec,
                incarnation,
                epoch,
                leaseEndsNanos,
                leaving,
                failStarts,
                running,
                ended,
                known,
                newLog);
    }
}
