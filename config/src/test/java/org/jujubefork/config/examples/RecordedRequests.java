package org.jujubefork.config.examples;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jujubefork.config.cell.CellReadResult;
import org.jujubefork.config.cell.CellReader;
import org.jujubefork.config.cell.NamedText;
import org.jujubefork.config.cell.PolicyNames;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.model.WorkKind;

/**
 * Generates the file of recorded requests of each example from the queues in its base file. The
 * output is deterministic, because each example has a fixed random seed.
 */
public final class RecordedRequests {
    /** Random seed of each example, by folder name. */
    static final Map<String, Long> SEEDS = Map.of("plotshare", 21_000L, "alpenquell", 22_000L);

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final int DURATION_MILLIS = 20_000;
    private static final int ARRIVAL_COUNT = 640;

    /** Average number of arrivals of each kind in 1,000 arrivals. */
    private static final Map<WorkKind, Integer> ARRIVALS_PER_THOUSAND =
            Map.of(
                    WorkKind.LOOKUP, 780,
                    WorkKind.COMMAND, 150,
                    WorkKind.BATCH, 48,
                    WorkKind.SERVICE, 6,
                    WorkKind.GANG, 16);

    private final List<Queue> queues;
    private final Random random;
    private int commandCount;

    private RecordedRequests(List<Queue> queues, long seed) {
        this.queues = queues;
        this.random = new Random(seed);
    }

    /** Returns the contents of {@code recorded.jsonl} for the example in {@code folder}. */
    static String generate(Path folder) throws IOException {
        CellReadResult result =
                CellReader.of(PolicyNames.BUILT_IN)
                        .read(
                                1,
                                NamedText.of(
                                        "base", Files.readString(folder.resolve("base.jsonc"))),
                                List.of());
        Configuration configuration = result.configurations().values().iterator().next();
        List<Queue> queues =
                configuration.queues().values().stream()
                        .sorted(
                                Comparator.comparingDouble(
                                                (Queue queue) -> -weight(configuration, queue))
                                        .thenComparing(queue -> !queue.urgent())
                                        .thenComparing(Queue::id))
                        .toList();
        long seed = SEEDS.get(folder.getFileName().toString());
        return new RecordedRequests(queues, seed).lines();
    }

    private static double weight(Configuration configuration, Queue queue) {
        return configuration.team(queue.team()).orElseThrow().weight();
    }

    private String lines() {
        List<ObjectNode> lines = new ArrayList<>();
        for (int i = 0; i < ARRIVAL_COUNT; i++) {
            WorkKind kind = randomKind();
            List<Queue> candidates = queues.stream().filter(queue -> queue.kind() == kind).toList();
            // The queues are sorted by descending weight of their team; the minimum of two random
            // indexes favors the first ones.
            int index =
                    Math.min(random.nextInt(candidates.size()), random.nextInt(candidates.size()));
            ObjectNode line = line(candidates.get(index), i);
            lines.add(line);
            boolean callerRepeats = kind == WorkKind.COMMAND && random.nextInt(10) == 0;
            if (callerRepeats) {
                int repeatAtMillis = line.get("atMillis").intValue() + 50 + random.nextInt(2_000);
                lines.add(line.deepCopy().put("atMillis", repeatAtMillis));
            }
        }
        lines.sort(Comparator.comparingInt(line -> line.get("atMillis").intValue()));
        StringBuilder text = new StringBuilder();
        lines.forEach(line -> text.append(line).append('\n'));
        return text.toString();
    }

    private WorkKind randomKind() {
        int remaining = random.nextInt(1_000);
        for (WorkKind kind : WorkKind.values()) {
            remaining -= ARRIVALS_PER_THOUSAND.get(kind);
            if (remaining < 0) {
                return kind;
            }
        }
        throw new IllegalStateException(
                "arrivals of all kinds do not add up to 1000: " + ARRIVALS_PER_THOUSAND);
    }

    private ObjectNode line(Queue queue, int number) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("atMillis", random.nextInt(DURATION_MILLIS));
        line.put("team", queue.open() ? "" : queue.team().value());
        line.put("queue", queue.id().value());
        line.put("type", queue.kind().isRequest() ? "request" : "job");
        ObjectNode body = body(queue.kind(), queue.id() + "-" + number);
        line.set("body", body);
        if (queue.kind() == WorkKind.COMMAND) {
            String key = queue.id() + "-key-" + commandCount++;
            line.put("idempotencyKey", key);
            // Simulated workers record the key, so that a checker can count executions per key.
            body.put("idempotencyKey", key);
        } else if (!queue.kind().isRequest()) {
            line.put("tasks", taskCount(queue.kind()));
            line.put("idempotencyKey", queue.id() + "-job-" + number);
        }
        return line;
    }

    private ObjectNode body(WorkKind kind, String echo) {
        ObjectNode body = MAPPER.createObjectNode();
        switch (kind) {
            case LOOKUP -> body.put("runMillis", between(1, 25)).put("answerBytes", answerBytes());
            case COMMAND -> body.put("runMillis", between(5, 60)).put("answerBytes", 200);
            case BATCH -> body.put("runMillis", between(300, 3_000)).put("answerBytes", 0);
            case GANG -> body.put("runMillis", between(800, 3_000)).put("answerBytes", 0);
            // A service without runMillis runs until it is cancelled.
            default -> body.put("answerBytes", 0);
        }
        boolean fail = kind == WorkKind.BATCH && random.nextInt(20) == 0;
        return body.put("echo", echo).put("fail", fail);
    }

    private int answerBytes() {
        boolean large = random.nextInt(50) == 0;
        return large ? between(100_000, 1_000_000) : between(100, 4_000);
    }

    private int taskCount(WorkKind kind) {
        return switch (kind) {
            case BATCH -> between(4, 40);
            case GANG -> between(2, 8);
            case SERVICE -> between(1, 4);
            case LOOKUP, COMMAND ->
                    throw new IllegalArgumentException("not a kind of job: " + kind);
        };
    }

    private int between(int low, int high) {
        return low + random.nextInt(high - low + 1);
    }

    /** Writes the recorded requests of all examples; {@code args[0]} is the project's root. */
    public static void main(String[] args) throws IOException {
        for (String example : SEEDS.keySet()) {
            Path folder = Path.of(args[0], "examples", example);
            Files.writeString(folder.resolve("recorded.jsonl"), generate(folder));
        }
    }
}
