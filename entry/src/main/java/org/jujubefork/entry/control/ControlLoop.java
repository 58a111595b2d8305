package org.jujubefork.entry.control;

import java.util.random.RandomGenerator;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.Tick;

/** The control thread of an entry of a cell, which runs {@link Reducer}. */
public final class ControlLoop implements EventSink, AutoCloseable {
    /** Time between two ticks. */
    public static final long TICK_INTERVAL_MILLIS = 100;

    private final ReducerLoop<State, Event, Effect> loop;

    private ControlLoop(ReducerLoop<State, Event, Effect> loop) {
        this.loop = loop;
    }

    /**
     * Returns a loop that starts from {@code initial} and holds at most {@code capacity} events.
     */
    public static ControlLoop of(State initial, Clock clock, RandomGenerator random, int capacity) {
        return new ControlLoop(
                ReducerLoop.of(
                        new ReducerLoop.Setup<>(
                                initial,
                                ControlLoop::reduce,
                                now -> new Tick(now, random.nextLong()),
                                TICK_INTERVAL_MILLIS,
                                state -> Long.MAX_VALUE,
                                clock,
                                capacity)));
    }

    private static ReducerLoop.ReducerResult<State, Effect> reduce(State state, Event event) {
        Transition transition = Reducer.reduce(state, event);
        return new ReducerLoop.ReducerResult<>(transition.state(), transition.effects());
    }

    /** Starts the control thread, which hands effects to {@code executor}. */
    public void start(EffectExecutor<Effect> executor) {
        loop.start(executor::execute);
    }

    /** Returns the newest state. */
    public State state() {
        return loop.state();
    }

    /** Returns how many events wait. */
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

    /** Returns how many events were refused because the queue was full. */
    public long refusedEventCount() {
        return loop.refusedEventCount();
    }

    /** Stops the control thread after the event that it handles now. */
    @Override
    public void close() {
        loop.close();
    }
}
