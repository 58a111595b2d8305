package org.jujubefork.standins.store;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistorySink;
import org.jujubefork.standins.http.Call;
import org.jujubefork.standins.http.Reply;
import org.jujubefork.standins.http.StandinServer;

/**
 * The key-value store: one lock around an immutable state, with HTTP handlers on virtual threads
 * outside. Faults are switched on under {@code /control} or by the methods of this class.
 */
public final class KeyValueStore implements AutoCloseable {
    private static final long MAX_HISTORY_BYTES = 64L * 1024 * 1024;
    private static final long MAX_WATCH_MILLIS = 60_000;

    private final HistorySink history;
    private final StoreTransitions transitions;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final ScheduledExecutorService timer;
    private final StandinServer server;

    // Guarded by lock.
    private StoreState state = StoreState.empty();
    private StoreFaults faults = StoreFaults.NONE;
    private TokenBucket writes;
    private TokenBucket reads;
    private final Map<String, Long> counters = new TreeMap<>();
    private ScheduledFuture<?> expiry;
    private boolean ignoreRevisions;

    private KeyValueStore(StoreOptions options, HistorySink history) throws IOException {
        this.history = history;
        this.transitions = new StoreTransitions(options.maxHistory(), MAX_HISTORY_BYTES);
        this.writes = TokenBucket.full(options.writesPerSecond(), System.nanoTime());
        this.reads = TokenBucket.full(options.readsPerSecond(), System.nanoTime());
        this.timer =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("store-expiry").factory());
        this.server = StandinServer.start(options.port(), this::handle);
    }

    public static KeyValueStore start(StoreOptions options, HistorySink history)
            throws IOException {
        return new KeyValueStore(options, history);
    }

    public int port() {
        return server.port();
    }

    /** Closes connections without an answer from now on, waiting watches included. */
    public void outage(boolean on) {
        locked(() -> faults = faults.withOutage(on));
    }

    public void slowMillis(long millis) {
        locked(() -> faults = faults.withSlowMillis(millis));
    }

    /** Loses the answers of the next writes, puts and deletes, after they took effect. */
    public void loseAnswers(long count) {
        locked(() -> faults = faults.withLoseAnswers(count));
    }

    public void nonsense(long count) {
        locked(() -> faults = faults.withNonsense(count));
    }

    /**
     * Executes writes whatever revision they expect; tests use it to see that the checkers notice
     * what compare-and-swap prevents.
     */
    public void ignoreRevisions(boolean on) {
        locked(() -> ignoreRevisions = on);
    }

    /** Returns how many calls of each kind came in, and how many were refused or failed. */
    public Map<String, Long> counters() {
        lock.lock();
        try {
            return new LinkedHashMap<>(counters);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
    }

    private void locked(Runnable change) {
        lock.lock();
        try {
            change.run();
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private Reply handle(Call call) throws InterruptedException {
        if (call.path().startsWith("/control/")) {
            return StoreControl.handle(this, call);
        }
        long slow;
        lock.lock();
        try {
            count(StoreHttp.kind(call));
            slow = faults.slowMillis();
        } finally {
            lock.unlock();
        }
        if (slow > 0) {
            Thread.sleep(slow);
        }
        lock.lock();
        try {
            return serve(call);
        } finally {
            lock.unlock();
        }
    }

    private Reply serve(Call call) throws InterruptedException {
        if (faults.outage()) {
            count("outage");
            return new Reply.Drop();
        }
        if (faults.nonsense() > 0) {
            faults = faults.withNonsense(faults.nonsense() - 1);
            return Reply.nonsense();
        }
        if (!takeToken(StoreHttp.isWrite(call))) {
            count("throttled");
            return Reply.error(429, "THROTTLED", "rate exceeded");
        }
        return switch (StoreHttp.kind(call)) {
            case "get" -> {
                apply(new StoreCommand.Expire());
                yield StoreHttp.value(Optional.ofNullable(state.values().get(StoreHttp.key(call))));
            }
            case "range" -> {
                apply(new StoreCommand.Expire());
                yield StoreHttp.range(state, call.text("prefix"));
            }
            case "watch" -> watch(call);
            default -> write(call);
        };
    }

    private boolean takeToken(boolean write) {
        TokenBucket bucket = (write ? writes : reads).refilled(System.nanoTime());
        boolean allowed = bucket.allows();
        TokenBucket next = allowed ? bucket.taken() : bucket;
        if (write) {
            writes = next;
        } else {
            reads = next;
        }
        return allowed;
    }

    private Reply write(Call call) {
        if (call.body().length > StoreHttp.MAX_VALUE_BYTES) {
            return Reply.error(413, "TOO_LARGE", "value has " + call.body().length + " bytes");
        }
        StoreCommand command = StoreHttp.command(call);
        if (ignoreRevisions) {
            command = StoreHttp.withoutRevision(command);
        }
        StoreOutcome outcome = apply(command);
        if (faults.loseAnswers() > 0 && outcome instanceof StoreOutcome.Written) {
            faults = faults.withLoseAnswers(faults.loseAnswers() - 1);
            count("lostAnswers");
            return new Reply.Drop();
        }
        return StoreHttp.reply(call, outcome);
    }

    private StoreOutcome apply(StoreCommand command) {
        long now = System.nanoTime();
        StoreTransitions.Step step = transitions.apply(state, command, now);
        state = step.state();
        for (StoredChange change : step.changes()) {
            history.record(
                    change.value().isPresent() ? EventType.STORE_WRITE : EventType.STORE_DELETE,
                    now,
                    Map.of(
                            "key",
                            change.key(),
                            "revision",
                            change.revision(),
                            "bytes",
                            change.bytes()));
        }
        if (!step.changes().isEmpty()) {
            changed.signalAll();
        }
        scheduleExpiry(now);
        return step.outcome();
    }

    private void scheduleExpiry(long now) {
        if (expiry != null) {
            expiry.cancel(false);
            expiry = null;
        }
        OptionalLong next = StoreTransitions.nextExpiry(state);
        if (next.isPresent() && !timer.isShutdown()) {
            long delay = Math.max(0, next.getAsLong() - now);
            expiry =
                    timer.schedule(
                            () -> locked(() -> apply(new StoreCommand.Expire())),
                            delay,
                            TimeUnit.NANOSECONDS);
        }
    }

    private Reply watch(Call call) throws InterruptedException {
        String prefix = call.text("prefix");
        long after = call.number("after");
        long left =
                TimeUnit.MILLISECONDS.toNanos(
                        Math.clamp(call.number("timeoutMillis"), 0, MAX_WATCH_MILLIS));
        while (true) {
            if (faults.outage()) {
                return new Reply.Drop();
            }
            if (after < state.trimmedThrough() || after > state.revision()) {
                return StoreHttp.trimmed(state.revision());
            }
            List<StoredChange> changes = changesAfter(prefix, after);
            if (!changes.isEmpty() || left <= 0) {
                return StoreHttp.changes(state.revision(), changes);
            }
            left = changed.awaitNanos(left);
        }
    }

    private List<StoredChange> changesAfter(String prefix, long after) {
        int first = (int) (after - state.trimmedThrough());
        return state.history().subList(first, state.history().size()).stream()
                .filter(c -> c.key().startsWith(prefix))
                .toList();
    }

    private void count(String kind) {
        counters.merge(kind, 1L, Long::sum);
    }
}
