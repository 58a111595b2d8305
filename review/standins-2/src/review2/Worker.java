package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import review2.Server.Answer;
import review2.Server.Request;

/**
 * A worker. The payload of a job names the milliseconds that each task runs, 0 for tasks that run
 * until they are told to end; with an f before it, the task fails then. The clock and the counts of
 * a worker start anew with each life.
 */
final class Worker {
    private static final long HOLD_MAX_MILLIS = 10_000;

    private static final RandomGenerator RANDOM = new Random(40);

    /** A run that a worker has begun, for the checks. */
    static final class Run {
        final String worker;
        final String task;
        final long number;
        final double startedAt;
        double endedAt = -1;
        String how = "";

        Run(String worker, String task, long number, double startedAt) {
            this.worker = worker;
            this.task = task;
            this.number = number;
            this.startedAt = startedAt;
        }

        @Override
        public String toString() {
            return task + " run " + number + " on " + worker;
        }
    }

    /** All runs of all workers, in the order of their starts. */
    static final List<Run> RUNS = new ArrayList<>();

    private record Active(Run run, long endsAt, String outcome) {}

    private record End(long number, String task, long run, String how) {}

    final String id;
    final int cpu;
    private Server server;
    private int port;
    private long born;
    private long clockStart;
    private final Map<String, Active> active = new TreeMap<>();
    private final Map<String, Long> closed = new HashMap<>();
    private final List<End> ended = new ArrayList<>();
    private long nextEnd;
    private long fence;
    private long leaseUntil;
    private long seq;

    /** Whether no byte gets through, in either direction. */
    volatile boolean cut;

    /** The share of the starts and stops that get no answer and are carried out late. */
    volatile double lateShare;

    volatile boolean up;

    /** When the worker has answered a hold for the first time in this life, -1 before. */
    volatile double firstHoldAt = -1;

    Worker(String id, int cpu) {
        this.id = id;
        this.cpu = cpu;
    }

    /** Begins a life, on the address of the last one if there was one. */
    synchronized void begin() throws IOException {
        active.clear();
        closed.clear();
        ended.clear();
        nextEnd = 1;
        fence = 0;
        leaseUntil = 0;
        firstHoldAt = -1;
        born = System.currentTimeMillis();
        clockStart = System.nanoTime();
        server = new Server(port, this::handle);
        port = server.port;
        up = true;
        Record.line("worker " + id + " begins a life");
    }

    /** Ends its life at once: everything that runs on it terminates. */
    synchronized void crash() {
        for (Active each : active.values()) {
            close(each.run(), "lost");
        }
        active.clear();
        up = false;
        server.close();
        Record.line("worker " + id + " crashes");
        notifyAll();
    }

    String key() {
        return "servers/" + id;
    }

    synchronized String entry() {
        return String.format(
                "{\"service\":\"svc\",\"address\":\"%s:%d\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,"
                        + "\"state\":\"ready\",\"cold_left_ms\":0,\"room\":{\"cpu\":%d,\"mem_mb\":131072,\"gpu\":0},"
                        + "\"labels\":[\"a\",\"r1\"],\"clock_ms\":%d,\"seq\":%d,\"born\":%d}",
                Cell.HOST, port, cpu, clock(), ++seq, born);
    }

    private long clock() {
        return (System.nanoTime() - clockStart) / 1_000_000;
    }

    private static void close(Run run, String how) {
        run.endedAt = Record.seconds();
        run.how = how;
        Record.line("run ends " + how + ": " + run);
    }

    private void end(String task, String how) {
        Active run = active.remove(task);
        closed.merge(task, run.run().number, Math::max);
        ended.add(new End(nextEnd++, task, run.run().number, how));
        close(run.run(), how);
        notifyAll();
    }

    /** Ends the run of {@code task}, as a task that fails or completes does. */
    synchronized boolean endTask(String task, String how) {
        boolean found = active.containsKey(task);
        if (found) {
            end(task, how);
        }
        return found;
    }

    /** Ends runs whose time or lease is over. */
    synchronized void advance() {
        if (!up) {
            return;
        }
        long now = clock();
        for (String task : List.copyOf(active.keySet())) {
            long endsAt = active.get(task).endsAt();
            if (endsAt <= Math.min(now, leaseUntil)) {
                end(task, active.get(task).outcome());
            } else if (now > leaseUntil) {
                end(task, "lapsed");
            }
        }
    }

    private Answer handle(Request request) throws InterruptedException {
        if (cut) {
            // Bytes that arrive during a cut are lost.
            while (cut) {
                Thread.sleep(20);
            }
            return Answer.of(0);
        }
        if (!request.path().equals("/api/hold") && RANDOM.nextDouble() < lateShare) {
            long millis = RANDOM.nextLong(2_000, 12_000);
            Record.line("worker " + id + " leaves unanswered for " + millis + " ms: " + request.path() + " " + request.body());
            Thread.sleep(millis);
            carryOut(request);
            return Answer.of(0);
        }
        Answer answer = carryOut(request);
        while (cut) {
            Thread.sleep(20);
        }
        return answer;
    }

    private synchronized Answer carryOut(Request request) throws InterruptedException {
        if (!up) {
            return Answer.of(0);
        }
        advance();
        JsonNode body = request.body();
        if (request.instance() != null && !request.instance().equals(id)) {
            return answer(421);
        }
        if (body.path("fence").asLong() < fence) {
            return refused("fence");
        }
        fence = body.path("fence").asLong();
        return switch (request.path()) {
            case "/api/hold" -> hold(body);
            case "/api/run-start" -> start(body);
            case "/api/run-stop" -> stop(body);
            default -> Answer.of(404);
        };
    }

    private Answer answer(int status) {
        Answer answer = Answer.of(status);
        answer.body().put("clock_ms", clock());
        return answer;
    }

    private Answer refused(String reason) {
        Answer answer = answer(409);
        answer.body().put("reason", reason);
        return answer;
    }

    private void extendLease(long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + HOLD_MAX_MILLIS));
    }

    private Answer hold(JsonNode body) throws InterruptedException {
        if (body.hasNonNull("until_ms")) {
            extendLease(body.path("until_ms").asLong());
        }
        if (firstHoldAt < 0) {
            Record.line(
                    "worker " + id + " gets the first hold of its life: " + body + ", its clock is " + clock()
                            + ", its lease runs until " + leaseUntil);
        }
        ended.removeIf(e -> e.number() <= body.path("seen_upto").asLong());
        long deadline = System.nanoTime() + body.path("wait_ms").asLong() * 1_000_000;
        while (up && ended.isEmpty() && System.nanoTime() < deadline) {
            wait(5);
            advance();
        }
        if (!up) {
            return Answer.of(0);
        }
        Answer answer = answer(200);
        answer.body().put("born", born);
        ArrayNode running = answer.body().putArray("running");
        active.forEach(
                (task, run) ->
                        running.addArray().add(task).add(run.run().number).add("").add(100).add(0));
        ArrayNode ends = answer.body().putArray("ended");
        for (End end : ended) {
            ends.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add("");
        }
        if (firstHoldAt < 0) {
            firstHoldAt = Record.seconds();
        }
        return answer;
    }

    private Answer start(JsonNode body) {
        String task = body.path("task").asText();
        long number = body.path("run").asLong();
        if (active.containsKey(task) && active.get(task).run().number == number) {
            return answer(200);
        }
        if (number <= closed.getOrDefault(task, 0L)) {
            extendLease(body.path("until_ms").asLong());
            return refused("old");
        }
        if (body.path("until_ms").asLong() <= clock()) {
            return refused("late");
        }
        extendLease(body.path("until_ms").asLong());
        String spec = body.path("spec").asText();
        boolean fails = spec.startsWith("f");
        long millis = Long.parseLong(fails ? spec.substring(1) : spec);
        Run run = new Run(id, task, number, Record.seconds());
        synchronized (RUNS) {
            RUNS.add(run);
        }
        long endsAt = millis == 0 ? Long.MAX_VALUE : clock() + millis;
        active.put(task, new Active(run, endsAt, fails ? "failed" : "done"));
        Record.line("run begins: " + run);
        return answer(200);
    }

    private Answer stop(JsonNode body) {
        String task = body.path("task").asText();
        closed.merge(task, body.path("run").asLong(), Math::max);
        if (active.containsKey(task) && active.get(task).run().number == body.path("run").asLong()) {
            end(task, "stopped");
        }
        return answer(200);
    }
}
