package org.jujubefork.entry.control;

import java.util.random.RandomGenerator;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.Tick;

/** The control loop of a cell's entry, which runs {@link Reducer} in a dedicated thread. */
public final class ControlLoop implements EventSink, AutoCloseable {
    /** The regular interval between ticks. */
    public static final long TICK_INTERVAL_MILLIS = 100;

    private final ReducerLoop<State, Event, Effect> loop;

    private ControlLoop(ReducerLoop<State, Event, Effect> loop) {
        this.loop = loop;
    }

    /**
     * Returns a loop that is not started yet.
     *
     * @param initialState the initial state
     * @param clock the clock of the ticks
     * @param random provides the random numbers that ticks carry for the reducer
     * @param maxQueuedEvents the maximum number of queued events
     */
    public static ControlLoop of(
            State initialState, Clock clock, RandomGenerator random, int maxQueuedEvents) {
        return new ControlLoop(
                ReducerLoop.of(
                        new ReducerLoop.Setup<>(
                                initialState,
                                ControlLoop::reduce,
                                now -> new Tick(now, random.nextLong()),
                                TICK_INTERVAL_MILLIS,
                                state -> Long.MAX_VALUE,
                                clock,
                                maxQueuedEvents)));
    }

    private static ReducerLoop.ReducerResult<State, Effect> reduce(State state, Event event) {
        Transition transition = Reducer.reduce(state, event);
        return new ReducerLoop.ReducerResult<>(transition.state(), transition.effects());
    }

    /** Starts the control thread, which passes effects to {@code executor}. */
    public void start(EffectExecutor<Effect> executor) {
        loop.start(executor::execute);
    }

    /** Returns the newest state. */
    public State state() {
        return loop.state();
    }

    /** Returns the number of queued events. */
    public int backlog() {
        return loop.backlog();
    }

    @Override
    public void post(Event event) {
        loop.post(event);
    }

    @Override
    public boolean offer(Event event) {
        return loop.offer(event);
    }

    /** Returns the number of offered events that were rejected because the queue was full. */
    public long rejectedEventCount() {
        return loop.rejectedEventCount();
    }

    /** Stops the control thread after the event in progress and waits for it to end. */
    @Override
    public void close() {
        loop.close();
    }
}
