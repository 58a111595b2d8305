package org.jujubefork.client.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.client.http.MalformedResponseException;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/** JSON form of tasks in the worker protocol. */
public final class TaskJson {
    private TaskJson() {}

    /** Writes all fields of {@code spec} except its payload to {@code target}. */
    public static void write(ObjectNode target, TaskSpec spec) {
        target.put("taskId", spec.id().value())
                .put("team", spec.team().value())
                .put("queue", spec.queue().value())
                .put("kind", spec.kind().name());
        writeResources(target.putObject("size"), spec.size());
        spec.jobTask()
                .ifPresent(
                        job ->
                                target.putObject("job")
                                        .put("id", job.job().value())
                                        .put("index", job.index())
                                        .put("attempt", job.attempt()));
    }

    /** Writes the amounts of CPU, memory and accelerators to {@code target}. */
    public static void writeResources(ObjectNode target, Resources amount) {
        target.put("cpuMillis", amount.cpuMillis())
                .put("memoryMb", amount.memoryMb())
                .put("accelerators", amount.accelerators());
    }

    /**
     * Reads a task specification. The payload comes from the string field {@code payload} and is
     * empty if the field is missing.
     *
     * @throws MalformedResponseException if a field is missing, or invalid for the model types
     */
    public static TaskSpec read(JsonFields fields) throws MalformedResponseException {
        return fields.decode(
                "task",
                f ->
                        new TaskSpec(
                                TaskId.of(f.text("taskId")),
                                TeamId.of(f.text("team")),
                                QueueId.of(f.text("queue")),
                                f.enumConstant("kind", WorkKind.class),
                                f.resources("size"),
                                f.has("job")
                                        ? Optional.of(readJobTask(f.child("job")))
                                        : Optional.empty(),
                                f.textIfPresent("payload").orElse("")));
    }

    private static JobTask readJobTask(JsonFields fields) throws MalformedResponseException {
        return new JobTask(
                JobId.of(fields.text("id")),
                fields.intNumber("index"),
                fields.intNumber("attempt"));
    }

    static RunningTask readRunningTask(JsonFields fields) throws MalformedResponseException {
        return new RunningTask(read(fields), fields.resources("usage"), fields.number("ageMillis"));
    }

    static WorkerSnapshot.UsageUpdate readUsageUpdate(JsonFields fields)
            throws MalformedResponseException {
        return new WorkerSnapshot.UsageUpdate(
                TaskId.of(fields.text("taskId")), fields.resources("usage"));
    }

    static EndedTask readEndedTask(JsonFields fields) throws MalformedResponseException {
        return new EndedTask(
                read(fields),
                fields.enumConstant("reason", EndReason.class),
                fields.text("message"),
                fields.resources("peakUsage"),
                fields.number("progressMillis"));
    }
}
