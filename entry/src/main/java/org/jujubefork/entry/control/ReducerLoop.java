package org.jujubefork.entry.control;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.ToLongFunction;
import org.jboss.logging.Logger;

/**
 * A control loop, which runs in a dedicated thread. It takes events from one bounded queue, applies
 * a reducer, publishes the new state, and passes the effects to an executor.
 *
 * <p>No other thread changes the control state. Any thread may read {@link #state()}, which is
 * immutable.
 *
 * @param <S> the state
 * @param <E> the events
 * @param <F> the effects
 */
public final class ReducerLoop<S, E, F> implements AutoCloseable {
    /** Minimum interval between log lines about events that were rejected. */
    private static final long MIN_REJECTION_LOG_INTERVAL_MILLIS = 1_000;

    /**
     * If more time than this passes between two iterations of the loop, the process is considered
     * to have been paused.
     */
    private static final long MIN_PROCESS_PAUSE_MILLIS = 500;

    /** Maximum number of events that are applied before the loop checks whether a tick is due. */
    private static final int MAX_EVENTS_PER_ITERATION = 256;

    /**
     * Minimum time between the end of a tick and the next one, as a multiple of the tick's
     * duration. Ticks are slow until the JIT compiler has compiled their code; without this gap a
     * tick would run after almost every event and the queue would grow.
     */
    private static final long TICK_GAP_FACTOR = 2;

    private static final Logger log = Logger.getLogger(ReducerLoop.class);

    /**
     * The result of applying an event.
     *
     * @param <S> the state
     * @param <F> the effects
     * @param state the new state
     * @param effects the effects in the order in which they must be executed
     */
    public record ReducerResult<S, F>(S state, Iterable<F> effects) {}

    /**
     * The parameters of a loop.
     *
     * @param <S> the state
     * @param <E> the events
     * @param <F> the effects
     * @param initialState the initial state
     * @param reducer returns the new state and the effects of an event
     * @param tickFactory returns the tick event for a time of the clock in milliseconds
     * @param maxTickIntervalMillis the regular interval between ticks; slow ticks may extend it
     * @param wakeAt returns the time of the clock, in milliseconds, at which a state requires a
     *     tick; it has no effect if the regular tick is due earlier
     * @param clock the clock of the ticks
     * @param maxQueuedEvents the capacity of the event queue
     */
    public record Setup<S, E, F>(
            S initialState,
            BiFunction<S, E, ReducerResult<S, F>> reducer,
            LongFunction<E> tickFactory,
            long maxTickIntervalMillis,
            ToLongFunction<S> wakeAt,
            Clock clock,
            int maxQueuedEvents) {}

    private final Setup<S, E, F> setup;
    private final BlockingQueue<E> events;
    private final Thread thread;
    private final LongAdder rejectedEventCounter = new LongAdder();
    private final AtomicLong nextRejectionLogAt = new AtomicLong(Long.MIN_VALUE);
    private volatile Consumer<F> effectExecutor = effect -> {};
    private volatile TickObserver tickObserver = (endedAt, durationMillis, queuedEvents) -> {};
    private volatile S state;
    private volatile boolean open = true;

    private ReducerLoop(Setup<S, E, F> setup) {
        this.setup = setup;
        this.state = setup.initialState();
        this.events = new ArrayBlockingQueue<>(setup.maxQueuedEvents());
        this.thread = Thread.ofPlatform().name("control").unstarted(this::run);
    }

    /** Returns a loop that is not started yet. */
    public static <S, E, F> ReducerLoop<S, E, F> of(Setup<S, E, F> setup) {
        return new ReducerLoop<>(setup);
    }

    /** Starts the control thread, which passes effects to {@code executor}. */
    public void start(Consumer<F> executor) {
        effectExecutor = executor;
        thread.start();
    }

    /**
     * Starts the control thread, which passes effects to {@code executor} and reports its ticks to
     * {@code observer}.
     */
    public void start(Consumer<F> executor, TickObserver observer) {
        tickObserver = observer;
        start(executor);
    }

    /** Returns the newest state. */
    public S state() {
        return state;
    }

    /** Returns the number of queued events. */
    public int backlog() {
        return events.size();
    }

    /** Queues {@code event}; blocks while the queue is full. */
    public void post(E event) {
        try {
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Queues {@code event} without blocking. Logs rejected events at a limited rate.
     *
     * @return whether the event was accepted; false if the queue is full
     */
    public boolean offer(E event) {
        if (events.offer(event)) {
            return true;
        }
        rejectedEventCounter.increment();
        long now = setup.clock().millis();
        long nextLogAt = nextRejectionLogAt.get();
        if (now >= nextLogAt
                && nextRejectionLogAt.compareAndSet(
                        nextLogAt, now + MIN_REJECTION_LOG_INTERVAL_MILLIS)) {
            log.warnf(
                    "event=event-queue-full last=%s refused_total=%d",
                    event.getClass().getSimpleName(), rejectedEventCounter.sum());
        }
        return false;
    }

    /** Returns the number of offered events that were rejected because the queue was full. */
    public long rejectedEventCount() {
        return rejectedEventCounter.sum();
    }

    private void run() {
        long now = setup.clock().millis();
        TickSchedule schedule = new TickSchedule(now, now);
        long lastIterationEndedAt = now;
        while (open) {
            try {
                long waitMillis =
                        schedule.nextTickAt(setup.wakeAt().applyAsLong(state))
                                - setup.clock().millis();
                E event =
                        waitMillis > 0
                                ? events.poll(waitMillis, TimeUnit.MILLISECONDS)
                                : events.poll();
                now = setup.clock().millis();
                if (now - lastIterationEndedAt > MIN_PROCESS_PAUSE_MILLIS) {
                    // After a process pause the tick runs before any event, so that the
                    // reducer handles the elapsed time first.
                    schedule = runTick(now);
                }
                for (int i = 0; event != null && i < MAX_EVENTS_PER_ITERATION; i++) {
                    apply(event);
                    event = events.poll();
                }
                if (event != null) {
                    apply(event);
                }
                now = setup.clock().millis();
                if (now >= schedule.nextTickAt(setup.wakeAt().applyAsLong(state))) {
                    schedule = runTick(now);
                }
                lastIterationEndedAt = setup.clock().millis();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private TickSchedule runTick(long now) {
        apply(setup.tickFactory().apply(now));
        long endedAt = setup.clock().millis();
        observeTick(endedAt, endedAt - now);
        return new TickSchedule(
                now + setup.maxTickIntervalMillis(), endedAt + TICK_GAP_FACTOR * (endedAt - now));
    }

    private void observeTick(long endedAt, long durationMillis) {
        try {
            tickObserver.onTick(endedAt, durationMillis, events.size());
        } catch (RuntimeException | LinkageError e) {
            // An error of the observer must not stop the loop.
            log.errorf(e, "event=tick-observer-failure");
        }
    }

    /**
     * The bounds of the time of the next tick.
     *
     * @param latest the time of the regular tick
     * @param earliest the time before which no tick may run; takes precedence over {@code latest}
     */
    private record TickSchedule(long latest, long earliest) {
        long nextTickAt(long requestedAt) {
            return Math.max(earliest, Math.min(latest, requestedAt));
        }
    }

    private void apply(E event) {
        try {
            ReducerResult<S, F> result = setup.reducer().apply(state, event);
            state = result.state();
            result.effects().forEach(this::execute);
        } catch (RuntimeException | LinkageError | StackOverflowError e) {
            // The state remains unchanged; one event that cannot be applied must not stop the loop.
            log.errorf(e, "event=control-failure input=%s", event.getClass().getSimpleName());
        }
    }

    private void execute(F effect) {
        try {
            effectExecutor.accept(effect);
        } catch (RuntimeException | LinkageError | StackOverflowError e) {
            // The other effects are still executed, because the new state assumes all of them.
            log.errorf(e, "event=effect-failure effect=%s", effect.getClass().getSimpleName());
        }
    }

    /** Stops the control thread after the event in progress and waits for it to end. */
    @Override
    public void close() {
        open = false;
        Threads.interruptAndJoin(thread);
    }
}
