package org.jujubefork.entry.control;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.Tick;

/**
 * The control thread: takes events from one bounded queue, runs the reducer, publishes the new
 * state and hands effects to executors.
 *
 * <p>No other thread changes control state. Any thread may read {@link #state()}, which is
 * immutable.
 */
public final class ControlLoop implements EventSink, AutoCloseable {
    /** Time between two ticks. */
    public static final long TICK_MILLIS = 100;

    /** Least time between two log lines about refused events. */
    private static final long REFUSAL_LOG_MILLIS = 1_000;

    private static final Logger log = Logger.getLogger(ControlLoop.class);

    private final BlockingQueue<Event> events;
    private final Clock clock;
    private final RandomGenerator random;
    private final Thread thread;
    private final LongAdder refused = new LongAdder();
    private final AtomicLong refusalLogDue = new AtomicLong(Long.MIN_VALUE);
    private volatile EffectExecutor<Effect> effects = effect -> {};
    private volatile State state;
    private volatile boolean open = true;

    private ControlLoop(State initial, Clock clock, RandomGenerator random, int capacity) {
        this.state = initial;
        this.clock = clock;
        this.random = random;
        this.events = new ArrayBlockingQueue<>(capacity);
        this.thread = Thread.ofPlatform().name("control").unstarted(this::run);
    }

    /**
     * Returns a loop that starts from {@code initial} and holds at most {@code capacity} events.
     */
    public static ControlLoop of(State initial, Clock clock, RandomGenerator random, int capacity) {
        return new ControlLoop(initial, clock, random, capacity);
    }

    /** Starts the control thread, which hands effects to {@code executor}. */
    public void start(EffectExecutor<Effect> executor) {
        effects = executor;
        thread.start();
    }

    /** Returns the newest state. */
    public State state() {
        return state;
    }

    /** Returns how many events wait. */
    public int backlog() {
        return events.size();
    }

    @Override
    public void post(Event event) {
        try {
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean offer(Event event) {
        if (events.offer(event)) {
            return true;
        }
        refused.increment();
        long now = clock.millis();
        long due = refusalLogDue.get();
        if (now >= due && refusalLogDue.compareAndSet(due, now + REFUSAL_LOG_MILLIS)) {
            log.warnf(
                    "event=event-queue-full last=%s refused_total=%d",
                    event.getClass().getSimpleName(), refused.sum());
        }
        return false;
    }

    /** Returns how many events were refused because the queue was full. */
    public long refused() {
        return refused.sum();
    }

    private void run() {
        long nextTick = clock.millis();
        while (open) {
            try {
                long wait = nextTick - clock.millis();
                Event event = wait > 0 ? events.poll(wait, TimeUnit.MILLISECONDS) : null;
                if (event != null) {
                    apply(event);
                }
                long now = clock.millis();
                if (now >= nextTick) {
                    apply(new Tick(now, random.nextLong()));
                    nextTick = now + TICK_MILLIS;
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void apply(Event event) {
        try {
            Transition transition = Reducer.reduce(state, event);
            state = transition.state();
            transition.effects().forEach(this::execute);
        } catch (RuntimeException e) {
            // The state before the event stays in force; one bad event must not stop the entry.
            log.errorf(e, "event=control-failure input=%s", event.getClass().getSimpleName());
        }
    }

    private void execute(Effect effect) {
        try {
            effects.execute(effect);
        } catch (RuntimeException e) {
            // The other effects of the event are carried out; the state already includes them.
            log.errorf(e, "event=effect-failure effect=%s", effect.getClass().getSimpleName());
        }
    }

    /** Stops the control thread after the event that it handles now. */
    @Override
    public void close() {
        open = false;
        Threads.stop(thread);
    }
}
