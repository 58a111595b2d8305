package org.jujubefork.entry.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.jujubefork.core.jobs.JobDefinition;
import org.jujubefork.core.jobs.JobPart;
import org.jujubefork.core.jobs.JobRecord;
import org.jujubefork.core.jobs.JobState;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;
import org.pcollections.TreePVector;

/** Encodes and decodes job records as JSON. */
final class JobCodec {
    private JobCodec() {}

    static String encode(JobRecord job) {
        ObjectNode node =
                RecordJson.newObject()
                        .put("id", job.id().value())
                        .put("team", job.team().value())
                        .put("queue", job.queue().value())
                        .put("kind", job.kind().name())
                        .put("name", job.name())
                        .put("tasks", job.tasks())
                        .put("payload", job.payload())
                        .put("submittedAt", job.submittedAtEpochMillis())
                        .put("state", job.state().name())
                        .put("reason", job.reason());
        node.set("size", RecordJson.encodeResources(job.size()));
        ArrayNode parts = node.putArray("parts");
        for (JobPart part : job.parts()) {
            ObjectNode partNode =
                    parts.addObject()
                            .put("shard", part.shard().value())
                            .put("from", part.from())
                            .put("to", part.to());
            part.movingTo().ifPresent(s -> partNode.put("movingTo", s.value()));
        }
        ArrayNode succeeded = node.putArray("succeeded");
        job.succeeded().forEach(succeeded::add);
        ObjectNode attempts = node.putObject("attempts");
        job.failedAttempts()
                .forEach((index, count) -> attempts.put(Integer.toString(index), count));
        node.put("run", job.run());
        ObjectNode progress = node.putObject("progress");
        job.progress()
                .forEach((index, fraction) -> progress.put(Integer.toString(index), fraction));
        return node.toString();
    }

    static JobRecord decode(String text) throws MalformedRecordException {
        return RecordJson.decode("job record", text, JobCodec::read);
    }

    private static JobRecord read(JsonNode node) {
        PVector<JobPart> parts = TreePVector.empty();
        for (JsonNode part : node.required("parts")) {
            parts =
                    parts.plus(
                            new JobPart(
                                    ShardId.of(RecordJson.text(part, "shard")),
                                    RecordJson.integer(part, "from"),
                                    RecordJson.integer(part, "to"),
                                    Optional.ofNullable(part.get("movingTo"))
                                            .map(s -> ShardId.of(s.asText()))));
        }
        PSortedSet<Integer> succeeded = TreePSet.empty();
        for (JsonNode index : node.required("succeeded")) {
            succeeded = succeeded.plus(index.asInt());
        }
        PSortedMap<Integer, Integer> failedAttempts = TreePMap.empty();
        for (var field : node.required("attempts").properties()) {
            failedAttempts =
                    failedAttempts.plus(Integer.parseInt(field.getKey()), field.getValue().asInt());
        }
        PSortedMap<Integer, Double> progress = TreePMap.empty();
        for (var field : node.required("progress").properties()) {
            progress = progress.plus(Integer.parseInt(field.getKey()), field.getValue().asDouble());
        }
        return new JobRecord(
                new JobDefinition(
                        JobId.of(RecordJson.text(node, "id")),
                        TeamId.of(RecordJson.text(node, "team")),
                        QueueId.of(RecordJson.text(node, "queue")),
                        WorkKind.valueOf(RecordJson.text(node, "kind")),
                        RecordJson.text(node, "name"),
                        RecordJson.integer(node, "tasks"),
                        RecordJson.decodeResources(node.required("size")),
                        RecordJson.text(node, "payload"),
                        RecordJson.number(node, "submittedAt")),
                JobState.valueOf(RecordJson.text(node, "state")),
                RecordJson.text(node, "reason"),
                parts,
                succeeded,
                failedAttempts,
                RecordJson.integer(node, "run"),
                progress);
    }
}
