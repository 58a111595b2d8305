package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import review.HttpStandin.Answer;
import review.HttpStandin.Request;

/**
 * A worker that doesn't guard its room. The spec of a task names the milliseconds that it runs; a
 * negative number means that it then fails, and a Unix time when it ends.
 */
final class WorkerStandin implements AutoCloseable {
    static final long HOLD_MAX_MILLIS = 10_000;

    /** Called, on the thread of the order, when a run starts or ends. */
    interface Listener {
        void started(WorkerStandin worker, String task, long run);

        void refused(WorkerStandin worker, String task);

        void ended(WorkerStandin worker, String task, long run, String how);

        /** The end of a run was acknowledged with {@code seen_upto}. */
        void noted(WorkerStandin worker, String task, long run, String how);
    }

    private record Run(long run, long endsAt, String how) {}

    private record End(long number, String task, long run, String how) {}

    final String id;
    private final AdviceStandin advice;
    private final Listener listener;
    private final HttpStandin server;
    private final long born = System.currentTimeMillis();
    private final long bornNanos = System.nanoTime();
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Long> closed = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long nextEnd = 1;
    private long fence;
    private long leaseUntil;
    private boolean cut;
    private boolean closedDown;
    private boolean unhealthy;

    WorkerStandin(String id, AdviceStandin advice, Listener listener) throws IOException {
        this.id = id;
        this.advice = advice;
        this.listener = listener;
        this.server = new HttpStandin(this::handle);
        Thread.ofVirtual().start(this::watchRuns);
    }

    /** The worker's report about itself, as it writes it to the store. */
    String entry(String state) {
        return String.format(
                "{\"service\":\"svc\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\","
                        + "\"slots\":8,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":1,\"born\":%d,"
                        + "\"room\":{\"cpu\":32000,\"mem_mb\":131072,\"gpu\":0},"
                        + "\"labels\":[\"a\",\"r1-1\"]}",
                server.address(), state, born);
    }

    long clock() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    synchronized List<String> running() {
        return List.copyOf(runs.keySet());
    }

    /** Cuts the worker off from all machines, in both directions, or heals the cut. */
    synchronized void setCut(boolean isCut) {
        cut = isCut;
        notifyAll();
    }

    /** An unhealthy worker rejects all starts, and does nothing then. */
    synchronized void setUnhealthy(boolean isUnhealthy) {
        unhealthy = isUnhealthy;
    }

    private void watchRuns() {
        try {
            while (true) {
                synchronized (this) {
                    if (closedDown) {
                        return;
                    }
                    advance();
                }
                Thread.sleep(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void advance() {
        long now = clock();
        for (String task : List.copyOf(runs.keySet())) {
            if (now > leaseUntil) {
                end(task, "lapsed");
            } else if (runs.get(task).endsAt() <= now) {
                end(task, runs.get(task).how());
            }
        }
    }

    private void end(String task, String how) {
        Run run = runs.remove(task);
        closed.merge(task, run.run(), Math::max);
        ends.add(new End(nextEnd++, task, run.run(), how));
        listener.ended(this, task, run.run(), how);
        notifyAll();
    }

    private synchronized Answer handle(Request request) throws InterruptedException {
        if (cut || closedDown) {
            while (cut && !closedDown) {
                wait(100);
            }
            return Answer.of(0);
        }
        if (!request.instance().isEmpty() && !request.instance().equals(id)) {
            return Answer.of(421);
        }
        advance();
        JsonNode body = request.body();
        if (body.path("fence").asLong() < fence) {
            return refused("fence");
        }
        fence = body.path("fence").asLong();
        Answer answer =
                switch (request.path()) {
                    case "/api/hold" -> hold(body);
                    case "/api/run-start" -> start(body);
                    case "/api/run-stop" -> stop(body);
                    default -> Answer.of(404);
                };
        boolean isLost = cut;
        while (cut && !closedDown) {
            wait(100);
        }
        return isLost || closedDown ? Answer.of(0) : answer;
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

    private void extend(JsonNode body) {
        long until = Math.min(body.path("until_ms").asLong(), clock() + HOLD_MAX_MILLIS);
        leaseUntil = Math.max(leaseUntil, until);
    }

    private Answer hold(JsonNode body) throws InterruptedException {
        extend(body);
        long seen = body.path("seen_upto").asLong();
        for (End end : List.copyOf(ends)) {
            if (end.number() <= seen) {
                ends.remove(end);
                listener.noted(this, end.task(), end.run(), end.how());
            }
        }
        long deadline = clock() + body.path("wait_ms").asLong();
        while (ends.isEmpty() && clock() < deadline && !cut && !closedDown) {
            wait(Math.max(1, Math.min(20, deadline - clock())));
            advance();
        }
        Answer answer = answer(200);
        answer.body().put("born", born);
        ArrayNode running = answer.body().putArray("running");
        runs.forEach(
                (task, run) ->
                        running.addArray().add(task).add(run.run()).add("").add(100).add(0));
        ArrayNode ended = answer.body().putArray("ended");
        for (End end : ends) {
            ended.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add("");
        }
        return answer;
    }

    private Answer start(JsonNode body) {
        if (unhealthy) {
            listener.refused(this, body.path("task").asText());
            return answer(503);
        }
        String task = body.path("task").asText();
        long run = body.path("run").asLong();
        if (runs.containsKey(task) && runs.get(task).run() == run) {
            extend(body);
            return answer(200);
        }
        if (run <= closed.getOrDefault(task, 0L)) {
            extend(body);
            return refused("old");
        }
        if (body.path("until_ms").asLong() <= clock()) {
            return refused("late");
        }
        if (!advice.isValid(body.path("ticket").asText(), task, id)) {
            return refused("ticket");
        }
        extend(body);
        long millis = Long.parseLong(body.path("spec").asText());
        long endsAt = clock() + Math.abs(millis);
        if (millis > born) {
            endsAt = millis - born;
        }
        runs.put(task, new Run(run, endsAt, millis < 0 ? "failed" : "done"));
        listener.started(this, task, run);
        notifyAll();
        return answer(200);
    }

    private Answer stop(JsonNode body) {
        String task = body.path("task").asText();
        closed.merge(task, body.path("run").asLong(), Math::max);
        if (runs.containsKey(task) && runs.get(task).run() <= body.path("run").asLong()) {
            end(task, "stopped");
        }
        return answer(200);
    }

    @Override
    public void close() {
        synchronized (this) {
            closedDown = true;
            notifyAll();
        }
        server.close();
    }
}
