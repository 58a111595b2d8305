package org.jujubefork.standins.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.standins.history.EventType;

/** Builds the history events of a worker. */
final class Notes {
    private Notes() {}

    static WorkerStep.Note worker(WorkerState state) {
        Map<String, Object> fields = base(state);
        fields.put("zone", state.spec().location().zone());
        fields.put("incarnation", state.incarnation());
        resources(fields, state.spec().capacity());
        return new WorkerStep.Note(EventType.WORKER, fields);
    }

    static WorkerStep.Note lease(WorkerState state, Epoch epoch) {
        Map<String, Object> fields = base(state);
        epoch(fields, epoch);
        return new WorkerStep.Note(EventType.LEASE, fields);
    }

    static WorkerStep.Note start(WorkerState state, WorkerCommand.Start start) {
        Map<String, Object> fields = task(state, start.spec());
        epoch(fields, start.epoch());
        fields.put("incarnation", state.incarnation());
        if (!start.behavior().idempotencyKey().isEmpty()) {
            fields.put("idempotencyKey", start.behavior().idempotencyKey());
        }
        return new WorkerStep.Note(EventType.START, fields);
    }

    static WorkerStep.Note end(WorkerState state, TaskSpec spec, String reason) {
        Map<String, Object> fields = task(state, spec);
        fields.put("reason", reason);
        return new WorkerStep.Note(EventType.END, fields);
    }

    /**
     * Adds the time at which a task was due to end; the event itself comes later if the process of
     * the worker was paused.
     */
    static WorkerStep.Note due(WorkerStep.Note end, long dueNanos) {
        Map<String, Object> fields = new LinkedHashMap<>(end.fields());
        fields.put("dueNanos", dueNanos);
        return new WorkerStep.Note(end.type(), fields);
    }

    static WorkerStep.Note refusal(
            WorkerState state, String command, String task, Epoch epoch, String reason) {
        Map<String, Object> fields = base(state);
        fields.put("command", command);
        if (!task.isEmpty()) {
            fields.put("task", task);
        }
        epoch(fields, epoch);
        fields.put("reason", reason);
        return new WorkerStep.Note(EventType.REFUSAL, fields);
    }

    static WorkerStep.Note overcommit(WorkerState state, TaskSpec spec, Resources used) {
        Map<String, Object> fields = task(state, spec);
        fields.put("used", used.toString());
        fields.put("capacity", state.spec().capacity().toString());
        return new WorkerStep.Note(EventType.OVERCOMMIT, fields);
    }

    private static Map<String, Object> base(WorkerState state) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("worker", state.spec().id());
        return fields;
    }

    private static Map<String, Object> task(WorkerState state, TaskSpec spec) {
        Map<String, Object> fields = base(state);
        fields.put("task", spec.id().value());
        fields.put("team", spec.team().value());
        fields.put("queue", spec.queue().value());
        fields.put("kind", spec.kind().name());
        resources(fields, spec.size());
        spec.jobTask()
                .ifPresent(
                        job -> {
                            fields.put("job", job.job().value());
                            fields.put("index", (long) job.index());
                            fields.put("attempt", (long) job.attempt());
                        });
        return fields;
    }

    private static void resources(Map<String, Object> fields, Resources amount) {
        fields.put("cpuMillis", amount.cpuMillis());
        fields.put("memoryMb", amount.memoryMb());
        fields.put("accelerators", amount.accelerators());
    }

    private static void epoch(Map<String, Object> fields, Epoch epoch) {
        fields.put("epoch", epoch.number());
        fields.put("holder", epoch.holder().toString());
    }
}
