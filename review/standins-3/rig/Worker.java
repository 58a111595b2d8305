package rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rig.Http.Answer;
import rig.Http.Request;

/**
 * A worker as PROTOCOL.md describes it, with a service that sets enforces_capacity to false. A task runs for the
 * milliseconds that its spec begins with. A worker may crash and start again under its id; then it has a new life.
 */
public final class Worker implements AutoCloseable {
    private static final long HOLD_MAX_MILLIS = 10_000;
    private static final int ENDS_AT_A_TIME = 500;
    private static final long HEARTBEAT_MILLIS = 1_500;

    /** Hears of starts and ends. All calls are made under the lock of the worker. */
    public interface Listener {
        default void started(Worker worker, Life life, String task, long run, long fence, JsonNode order) {}

        default void ended(Worker worker, Life life, End end) {}

        default void seen(Worker worker, Life life, long upTo) {}
    }

    /** A run that is there. */
    public record Run(String task, long run, long startedAt, long endsAt, boolean fails) {}

    /** A run that has ended, at a time of System.nanoTime in milliseconds. */
    public record End(long number, String task, long run, String how, long at) {}

    /** What one life of the worker holds. */
    public static final class Life {
        public final long born;
        public final String kind;
        public final Map<String, Run> runs = new LinkedHashMap<>();
        final Map<String, Long> closed = new HashMap<>();
        final List<End> ended = new ArrayList<>();
        long nextEnd = 1;
        public long fence;
        long leaseUntil;
        /** How often a lease has ended while it was needed or not. */
        public int lapses;
        public long seenUpTo;

        Life(long born, String kind) {
            this.born = born;
            this.kind = kind;
        }
    }

    public final String id;
    private final String service;
    private final String zone;
    private final String rack;
    private final Store store;
    private final Listener listener;
    private final String room;
    private final int port;
    private Http server;
    private Life life;
    private volatile boolean up;
    private volatile boolean open = true;
    private volatile long silentSince = -1;
    private boolean listed;
    private long seq;

    public Worker(String id, String service, String zone, String rack, String kind, String room, Store store, Listener listener)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.rack = rack;
        this.room = room;
        this.store = store;
        this.listener = listener;
        this.life = new Life(System.currentTimeMillis(), kind);
        this.server = new Http(0, this::handle);
        this.port = server.port();
        this.up = true;
        Thread.ofVirtual().start(this::beat);
        Thread.ofVirtual().start(this::tick);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private long clock() {
        return System.currentTimeMillis() - life.born;
    }

    public synchronized Life life() {
        return life;
    }

    /** Crashes: nothing runs any more, the port is closed, and the entry in the store stays for a while. */
    public void crash() {
        Http old;
        synchronized (this) {
            up = false;
            silentSince = now();
            life.runs.clear();
            old = server;
            notifyAll();
        }
        old.close();
    }

    /** Starts again under the same id and address, as a worker of {@code kind}. It registers at once. */
    public void restart(String kind) throws IOException {
        synchronized (this) {
            life = new Life(System.currentTimeMillis(), kind);
            up = true;
            silentSince = -1;
        }
        register();
        server = new Http(port, this::handle);
    }

    private void beat() {
        try {
            while (open) {
                if (up) {
                    register();
                } else if (listed && silentSince >= 0 && now() - silentSince > 3 * HEARTBEAT_MILLIS) {
                    listed = !store.remove("servers/" + id);
                }
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void register() {
        String entry;
        synchronized (this) {
            seq++;
            entry =
                    ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
                                    + "\"state\":\"ready\",\"cold_left_ms\":0,\"room\":%s,\"labels\":[\"%s\",\"%s\"],"
                                    + "\"seq\":%d,\"born\":%d,\"machine\":\"m-%s\"}")
                            .formatted(service, port, zone, room, life.kind, rack, seq, life.born, id);
        }
        listed |= store.put("servers/" + id, entry);
    }

    private void tick() {
        try {
            while (open) {
                synchronized (this) {
                    if (up) {
                        advance();
                    }
                }
                Thread.sleep(5);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void advance() {
        long now = now();
        boolean lapsed = clock() > life.leaseUntil;
        for (Run run : List.copyOf(life.runs.values())) {
            if (lapsed) {
                end(run.task(), "lapsed");
            } else if (run.endsAt() <= now) {
                end(run.task(), run.fails() ? "failed" : "done");
            }
        }
    }

    private void end(String task, String how) {
        Run run = life.runs.remove(task);
        life.closed.merge(task, run.run(), Math::max);
        End end = new End(life.nextEnd++, task, run.run(), how, now());
        life.ended.add(end);
        listener.ended(this, life, end);
        notifyAll();
    }

    private synchronized Answer handle(Request request) throws InterruptedException {
        if (!up) {
            return Answer.of(0);
        }
        String instance = request.headers().getOrDefault("expect-instance", id);
        if (!instance.equals(id)) {
            return Answer.of(421);
        }
        advance();
        JsonNode body = request.body();
        if (body.path("fence").asLong() < life.fence) {
            return refused("fence");
        }
        life.fence = body.path("fence").asLong();
        return switch (request.path()) {
            case "/api/hold" -> hold(body);
            case "/api/run-start" -> start(body);
            case "/api/run-stop" -> stop(body);
            default -> Answer.of(404);
        };
    }

    private Answer answer(int status) {
        Answer answer = Answer.of(status);
        answer.body().put("clock_ms", clock()).put("born", life.born);
        return answer;
    }

    private Answer refused(String reason) {
        Answer answer = answer(409);
        answer.body().put("reason", reason);
        return answer;
    }

    private void extendLease(long until) {
        long clock = clock();
        if (life.leaseUntil > 0 && clock > life.leaseUntil) {
            life.lapses++;
        }
        life.leaseUntil = Math.max(life.leaseUntil, Math.min(until, clock + HOLD_MAX_MILLIS));
    }

    private Answer hold(JsonNode body) throws InterruptedException {
        Life mine = life;
        if (body.has("until_ms")) {
            extendLease(body.path("until_ms").asLong());
        }
        long upTo = body.path("seen_upto").asLong();
        if (upTo > life.seenUpTo) {
            life.seenUpTo = upTo;
            listener.seen(this, life, upTo);
        }
        life.ended.removeIf(e -> e.number() <= upTo);
        long deadline = now() + Math.min(2_000, body.path("wait_ms").asLong());
        while (life.ended.isEmpty() && now() < deadline && up && life == mine) {
            wait(20);
        }
        if (!up || life != mine) {
            return Answer.of(0);
        }
        Answer answer = answer(200);
        ArrayNode running = answer.body().putArray("running");
        for (Run run : life.runs.values()) {
            running.addArray().add(run.task()).add(run.run()).add("").add(100).add(0);
        }
        ArrayNode ends = answer.body().putArray("ended");
        for (End end : life.ended.subList(0, Math.min(ENDS_AT_A_TIME, life.ended.size()))) {
            ends.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add("");
        }
        return answer;
    }

    private Answer start(JsonNode body) {
        String task = body.path("task").asText();
        long run = body.path("run").asLong();
        Run present = life.runs.get(task);
        if (present != null && present.run() == run) {
            return answer(200);
        }
        extendLease(body.path("until_ms").asLong());
        if (run <= life.closed.getOrDefault(task, 0L) || (present != null && run <= present.run())) {
            return refused("old");
        }
        if (body.path("until_ms").asLong() <= clock()) {
            return refused("late");
        }
        String[] spec = body.path("spec").asText().split(" ");
        long now = now();
        life.runs.put(
                task, new Run(task, run, now, now + Long.parseLong(spec[0]), spec.length > 1 && spec[1].equals("fail")));
        listener.started(this, life, task, run, body.path("fence").asLong(), body);
        return answer(200);
    }

    private Answer stop(JsonNode body) {
        String task = body.path("task").asText();
        long run = body.path("run").asLong();
        life.closed.merge(task, run, Math::max);
        Run present = life.runs.get(task);
        if (present != null && present.run() <= run) {
            end(task, "stopped");
        }
        return answer(200);
    }

    @Override
    public void close() {
        open = false;
        server.close();
    }
}
