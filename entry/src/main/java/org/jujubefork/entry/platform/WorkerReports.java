package org.jujubefork.entry.platform;

import java.util.List;
import org.jujubefork.client.worker.EndedTask;
import org.jujubefork.client.worker.LeaseResult;
import org.jujubefork.client.worker.RunningTask;
import org.jujubefork.core.model.ReportedTask;
import org.jujubefork.core.model.WorkerReport;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** Converts workers' answers to lease calls into reports for the reducer. */
final class WorkerReports {
    private WorkerReports() {}

    static WorkerReport of(LeaseResult.Granted granted) {
        return new WorkerReport(
                granted.incarnation(),
                granted.leaving(),
                granted.capacity(),
                granted.slots(),
                toReportedTasks(granted.running()),
                toEndedTasks(granted.ended()));
    }

    private static PVector<ReportedTask> toReportedTasks(List<RunningTask> tasks) {
        return TreePVector.from(
                tasks.stream().map(t -> new ReportedTask(t.spec(), t.usage(), 0)).toList());
    }

    private static PVector<org.jujubefork.core.model.EndedTask> toEndedTasks(
            List<EndedTask> tasks) {
        return TreePVector.from(
                tasks.stream()
                        .map(
                                t ->
                                        new org.jujubefork.core.model.EndedTask(
                                                t.spec(),
                                                t.reason(),
                                                t.message(),
                                                t.progressMillis()))
                        .toList());
    }
}
