package org.jujubefork.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.client.http.MalformedResponseException;
import org.jujubefork.client.worker.EndedTask;
import org.jujubefork.client.worker.TaskJson;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.standins.http.Call;
import org.jujubefork.standins.http.Reply;

/** Maps between HTTP and a worker's commands; decides nothing. */
final class WorkerHttp {
    private static final String TASKS = "/v1/tasks";
    private static final int CHUNK_BYTES = 64 * 1024;

    Reply handle(SimulatedWorker worker, Call call) throws InterruptedException {
        Reply reply = answer(worker, call);
        if (worker.delayMillis() > 0) {
            Thread.sleep(worker.delayMillis());
        }
        return reply;
    }

    private Reply answer(SimulatedWorker worker, Call call) throws InterruptedException {
        JsonNode body = call.json();
        return switch (call.path()) {
            case "/v1/lease" -> {
                SimulatedWorker.Applied applied =
                        worker.apply(new WorkerCommand.Lease(epoch(body), ttl(body)));
                yield refusalOr(applied, WorkerReport.lease(applied));
            }
            case "/v1/renew" -> {
                long seen = body.path("seen").asLong();
                SimulatedWorker.Applied applied =
                        worker.apply(
                                new WorkerCommand.Renew(
                                        epoch(body), ttl(body), acknowledged(body), seen));
                yield refusalOr(applied, WorkerReport.renewal(applied, seen));
            }
            case TASKS -> start(worker, call, body);
            default -> command(worker, call, body);
        };
    }

    private Reply start(SimulatedWorker worker, Call call, JsonNode body)
            throws InterruptedException {
        TaskSpec spec = spec(call);
        byte[] input = input(body, spec);
        TaskBehavior behavior = TaskBehavior.parse(input);
        // The payload is not reported back, so it is not kept.
        TaskSpec kept =
                new TaskSpec(
                        spec.id(),
                        spec.team(),
                        spec.queue(),
                        spec.kind(),
                        spec.size(),
                        spec.jobTask(),
                        "");
        SimulatedWorker.Start start =
                worker.start(
                        new WorkerCommand.Start(
                                epoch(body), body.path("incarnation").asLong(), kept, behavior));
        if (start.loseAnswer()) {
            return new Reply.Drop();
        }
        if (start.applied().outcome() instanceof WorkerOutcome.Refused) {
            return refusalOr(start.applied(), Reply.object());
        }
        if (!spec.kind().isRequest()) {
            return Reply.json(201, Reply.object().put("taskId", spec.id().value()));
        }
        try {
            String id = start.applied().state().spec().id();
            return answer(id, spec.id(), behavior, start.end().get());
        } catch (CancellationException | ExecutionException e) {
            // The worker restarted, which closes its connections.
            return new Reply.Drop();
        }
    }

    private static Reply answer(String worker, TaskId task, TaskBehavior behavior, EndedTask end) {
        if (!SimulatedWorker.hasAnswer(end)) {
            return Reply.json(
                    500,
                    Reply.object()
                            .put("error", "TASK_ENDED")
                            .put("reason", end.reason().name())
                            .put("message", end.message()));
        }
        return new Reply.Stream(
                "application/json", out -> writeAnswer(out, worker, task, behavior));
    }

    private static void writeAnswer(
            OutputStream out, String worker, TaskId task, TaskBehavior behavior)
            throws IOException {
        ObjectNode head =
                Reply.object()
                        .put("echo", behavior.echo())
                        .put("worker", worker)
                        .put("taskId", task.value());
        String text = head.toString();
        // The filler follows as the last field, in chunks.
        out.write(text.substring(0, text.length() - 1).getBytes(StandardCharsets.UTF_8));
        out.write(",\"filler\":\"".getBytes(StandardCharsets.UTF_8));
        Filler filler = new Filler(behavior.echo());
        for (int left = behavior.answerBytes(); left > 0; left -= CHUNK_BYTES) {
            out.write(filler.next(Math.min(left, CHUNK_BYTES)));
        }
        out.write("\"}".getBytes(StandardCharsets.UTF_8));
    }

    private static Reply command(SimulatedWorker worker, Call call, JsonNode body) {
        List<String> segments =
                call.path().startsWith(TASKS + "/") ? call.segmentsAfter(TASKS + "/") : List.of();
        if (segments.size() != 2) {
            return Reply.error(404, "NO_SUCH_RESOURCE", call.path());
        }
        TaskId task = TaskId.of(segments.get(0));
        Epoch epoch = epoch(body);
        return switch (segments.get(1)) {
            case "stop" -> done(worker.apply(new WorkerCommand.Stop(epoch, task)));
            case "checkpoint" -> done(worker.apply(new WorkerCommand.Checkpoint(epoch, task)));
            case "throttle" ->
                    done(
                            worker.apply(
                                    new WorkerCommand.Throttle(
                                            epoch, task, body.path("cpuMillis").asLong())));
            default -> Reply.error(404, "NO_SUCH_RESOURCE", call.path());
        };
    }

    private static Reply done(SimulatedWorker.Applied applied) {
        return refusalOr(applied, Reply.object());
    }

    private static Reply refusalOr(SimulatedWorker.Applied applied, ObjectNode accepted) {
        if (!(applied.outcome() instanceof WorkerOutcome.Refused refused)) {
            return Reply.json(200, accepted);
        }
        ObjectNode answer =
                Reply.object()
                        .put("error", refused.error())
                        .put("message", refused.message())
                        .put("incarnation", applied.state().incarnation());
        applied.state()
                .epoch()
                .ifPresent(
                        e -> answer.put("epoch", e.number()).put("holder", e.holder().toString()));
        return Reply.json(refused.status(), answer);
    }

    private static TaskSpec spec(Call call) {
        try {
            return TaskJson.read(JsonFields.parse(call.body()));
        } catch (MalformedResponseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private static byte[] input(JsonNode body, TaskSpec spec) {
        if (!spec.kind().isRequest()) {
            return spec.payload().getBytes(StandardCharsets.UTF_8);
        }
        try {
            return body.required("body").binaryValue();
        } catch (IOException e) {
            throw new IllegalArgumentException("body is not Base64", e);
        }
    }

    private static Epoch epoch(JsonNode body) {
        return Epoch.of(
                body.required("epoch").asLong(), EntryId.parse(body.required("holder").asText()));
    }

    private static long ttl(JsonNode body) {
        long millis = body.path("ttlMillis").asLong();
        if (millis <= 0) {
            throw new IllegalArgumentException("ttlMillis must be positive: " + millis);
        }
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static List<TaskId> acknowledged(JsonNode body) {
        List<TaskId> ids = new ArrayList<>();
        body.path("acknowledged").forEach(n -> ids.add(TaskId.of(n.asText())));
        return ids;
    }
}
