package org.jujubefork.standins.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jujubefork.client.worker.EndedTask;
import org.jujubefork.client.worker.TaskJson;
import org.jujubefork.standins.http.Reply;

/** JSON form of what a worker says of its tasks, in full or as the changes since a revision. */
final class WorkerReport {
    private WorkerReport() {}

    static ObjectNode lease(SimulatedWorker.Applied applied) {
        return full(applied).put("workerId", applied.state().spec().id());
    }

    /** Returns the changes since {@code seen} if they are known, and everything otherwise. */
    static ObjectNode renewal(SimulatedWorker.Applied applied, long seen) {
        return applied.state().log().covers(seen) ? changes(applied, seen) : full(applied);
    }

    private static ObjectNode full(SimulatedWorker.Applied applied) {
        WorkerState state = applied.state();
        ObjectNode answer = head(state).put("slots", state.spec().slots());
        TaskJson.writeResources(answer.putObject("capacity"), state.spec().capacity());
        ArrayNode running = answer.putArray("running");
        state.log().listed().values().forEach(t -> write(running.addObject(), t, applied));
        writeEnded(answer.putArray("ended"), state);
        return answer;
    }

    /** Lists that would be empty are left out. */
    private static ObjectNode changes(SimulatedWorker.Applied applied, long seen) {
        WorkerState state = applied.state();
        ReportLog log = state.log();
        ObjectNode answer = head(state).put("since", seen).put("total", log.listed().size());
        for (ReportLog.Listed task : log.listed().values()) {
            if (task.addedAt() > seen) {
                write(answer.withArray("running").addObject(), task, applied);
            } else if (task.changedAt() > seen) {
                ObjectNode node = answer.withArray("usage").addObject();
                node.put("taskId", task.task().spec().id().value());
                TaskJson.writeResources(node.putObject("usage"), task.usage());
            }
        }
        log.gone()
                .forEach(
                        (id, at) -> {
                            if (at > seen) {
                                answer.withArray("gone").add(id.value());
                            }
                        });
        if (!state.ended().isEmpty()) {
            writeEnded(answer.putArray("ended"), state);
        }
        return answer;
    }

    private static ObjectNode head(WorkerState state) {
        return Reply.object()
                .put("incarnation", state.incarnation())
                .put("leaving", state.leaving())
                .put("revision", state.log().revision());
    }

    private static void write(
            ObjectNode node, ReportLog.Listed listed, SimulatedWorker.Applied applied) {
        TaskJson.write(node, listed.task().spec());
        TaskJson.writeResources(node.putObject("usage"), listed.usage());
        node.put("ageMillis", listed.task().ageMillis(applied.nowNanos()));
    }

    private static void writeEnded(ArrayNode ended, WorkerState state) {
        for (EndedTask end : state.ended().values()) {
            ObjectNode node = ended.addObject();
            TaskJson.write(node, end.spec());
            node.put("reason", end.reason().name()).put("message", end.message());
            TaskJson.writeResources(node.putObject("peakUsage"), end.peakUsage());
            node.put("progressMillis", end.progressMillis());
        }
    }
}
