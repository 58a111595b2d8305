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
 * A control thread: takes events from one bounded queue, runs a reducer, publishes the new state
 * and hands effects to an executor.
 *
 * <p>No other thread changes control state. Any thread may read {@link #state()}, which is
 * immutable.
 *
 * @param <S> the state
 * @param <E> the events
 * @param <F> the effects
 */
public final class ReducerLoop<S, E, F> implements AutoCloseable {
    /** Least time between two log lines about refused events. */
    private static final long MIN_REFUSAL_LOG_INTERVAL_MILLIS = 1_000;

    /** A longer time since the last turn of the loop is a pause of the process. */
    private static final long MIN_PROCESS_PAUSE_MILLIS = 500;

    /** The most events that are taken without a look at the clock. */
    private static final int MAX_EVENTS_PER_TURN = 256;

    /**
     * Time between the end of a tick and the next one, in durations of the tick. A tick can be slow
     * while the code is not compiled yet; events must not wait for one tick each.
     */
    private static final long TICK_GAP_FACTOR = 2;

    private static final Logger log = Logger.getLogger(ReducerLoop.class);

    /**
     * What a reducer returns.
     *
     * @param <S> the state
     * @param <F> the effects
     * @param state the new state
     * @param effects effects in the order in which they are to be carried out
     */
    public record ReducerResult<S, F>(S state, Iterable<F> effects) {}

    /**
     * How a loop is set up.
     *
     * @param <S> the state
     * @param <E> the events
     * @param <F> the effects
     * @param initial the first state
     * @param reducer returns the next state and the effects of an event
     * @param tick returns the event that says that time has passed, for a time of the clock
     * @param maxTickIntervalMillis the longest time between two ticks
     * @param wakeAt returns when a state wants an earlier tick, in milliseconds of the clock
     * @param clock the clock of the ticks
     * @param maxQueuedEvents how many events may wait
     */
    public record Setup<S, E, F>(
            S initial,
            BiFunction<S, E, ReducerResult<S, F>> reducer,
            LongFunction<E> tick,
            long maxTickIntervalMillis,
            ToLongFunction<S> wakeAt,
            Clock clock,
            int maxQueuedEvents) {}

    private final Setup<S, E, F> setup;
    private final BlockingQueue<E> events;
    private final Thread thread;
    private final LongAdder refusedEvents = new LongAdder();
    private final AtomicLong nextRefusalLogAt = new AtomicLong(Long.MIN_VALUE);
    private volatile Consumer<F> effects = effect -> {};
    private volatile S state;
    private volatile boolean open = true;

    private ReducerLoop(Setup<S, E, F> setup) {
        this.setup = setup;
        this.state = setup.initial();
        this.events = new ArrayBlockingQueue<>(setup.maxQueuedEvents());
        this.thread = Thread.ofPlatform().name("control").unstarted(this::run);
    }

    /** Returns a loop that is not started yet. */
    public static <S, E, F> ReducerLoop<S, E, F> of(Setup<S, E, F> setup) {
        return new ReducerLoop<>(setup);
    }

    /** Starts the control thread, which hands effects to {@code executor}. */
    public void start(Consumer<F> executor) {
        effects = executor;
        thread.start();
    }

    /** Returns the newest state. */
    public S state() {
        return state;
    }

    /** Returns how many events wait. */
    public int backlog() {
        return events.size();
    }

    /** Hands {@code event} to the control thread; waits while its queue is full. */
    public void post(E event) {
        try {
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Hands {@code event} to the control thread without waiting, for threads that must not block.
     *
     * @return whether it was taken; a queue that is full takes none
     */
    public boolean offer(E event) {
        if (events.offer(event)) {
            return true;
        }
        refusedEvents.increment();
        long now = setup.clock().millis();
        long due = nextRefusalLogAt.get();
        if (now >= due
                && nextRefusalLogAt.compareAndSet(due, now + MIN_REFUSAL_LOG_INTERVAL_MILLIS)) {
            log.warnf(
                    "event=event-queue-full last=%s refused_total=%d",
                    event.getClass().getSimpleName(), refusedEvents.sum());
        }
        return false;
    }

    /** Returns how many events were refused because the queue was full. */
    public long refusedEventCount() {
        return refusedEvents.sum();
    }

    private void run() {
        long now = setup.clock().millis();
        TickSchedule pace = new TickSchedule(now, now);
        long seen = now;
        while (open) {
            try {
                long wait =
                        pace.nextTickAt(setup.wakeAt().applyAsLong(state)) - setup.clock().millis();
                E event = wait > 0 ? events.poll(wait, TimeUnit.MILLISECONDS) : events.poll();
                now = setup.clock().millis();
                if (now - seen > MIN_PROCESS_PAUSE_MILLIS) {
                    // After a pause of the process the tick comes first, which shows the pause.
                    pace = runTick(now);
                }
                for (int i = 0; event != null && i < MAX_EVENTS_PER_TURN; i++) {
                    apply(event);
                    event = events.poll();
                }
                if (event != null) {
                    apply(event);
                }
                now = setup.clock().millis();
                if (now >= pace.nextTickAt(setup.wakeAt().applyAsLong(state))) {
                    pace = runTick(now);
                }
                seen = setup.clock().millis();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private TickSchedule runTick(long now) {
        apply(setup.tick().apply(now));
        long end = setup.clock().millis();
        return new TickSchedule(
                now + setup.maxTickIntervalMillis(), end + TICK_GAP_FACTOR * (end - now));
    }

    /**
     * When the next tick comes.
     *
     * @param latest the latest time
     * @param earliest no tick before this time
     */
    private record TickSchedule(long latest, long earliest) {
        long nextTickAt(long wanted) {
            return Math.max(earliest, Math.min(latest, wanted));
        }
    }

    private void apply(E event) {
        try {
            ReducerResult<S, F> reduced = setup.reducer().apply(state, event);
            state = reduced.state();
            reduced.effects().forEach(this::execute);
        } catch (RuntimeException e) {
            // The state before the event stays in force; one bad event must not stop the entry.
            log.errorf(e, "event=control-failure input=%s", event.getClass().getSimpleName());
        }
    }

    private void execute(F effect) {
        try {
            effects.accept(effect);
        } catch (RuntimeException e) {
            // The other effects of the event are carried out; the state already includes them.
            log.errorf(e, "event=effect-failure effect=%s", effect.getClass().getSimpleName());
        }
    }

    /** Stops the control thread after the event that it handles now. */
    @Override
    public void close() {
        open = false;
        Threads.interruptAndJoin(thread);
    }
}
