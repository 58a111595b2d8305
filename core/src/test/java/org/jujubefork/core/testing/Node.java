package org.jujubefork.core.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.LongFunction;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Timing;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.event.Event;

/** An entry of a {@link Cluster}, with its state and the events that it has not processed. */
public final class Node {
    private final String name;
    private final String zone;
    private final BiFunction<State, Event, Transition> reducer;
    private final List<LongFunction<Event>> inbox = new ArrayList<>();
    private final List<LogDecision> decisions = new ArrayList<>();
    private State state;
    private long incarnation = 1;
    private boolean alive = true;
    private long pausedUntilMillis;

    Node(String name, String zone, BiFunction<State, Event, Transition> reducer, long nowMillis) {
        this.name = name;
        this.zone = zone;
        this.reducer = reducer;
        this.state = initial(nowMillis);
    }

    private State initial(long nowMillis) {
        return State.initial(Fixtures.identity(name, incarnation, zone), Timing.DEFAULT, nowMillis);
    }

    public String name() {
        return name;
    }

    public State state() {
        return state;
    }

    public List<LogDecision> decisions() {
        return decisions;
    }

    public boolean isAlive() {
        return alive;
    }

    public boolean isRunning(long nowMillis) {
        return alive && nowMillis >= pausedUntilMillis;
    }

    /** Replaces the state, for tests that start from a particular state. */
    public void setState(State value) {
        state = value;
    }

    void kill() {
        alive = false;
        inbox.clear();
    }

    void restart(long nowMillis) {
        incarnation++;
        alive = true;
        pausedUntilMillis = 0;
        state = initial(nowMillis);
    }

    void pauseUntil(long millis) {
        pausedUntilMillis = millis;
    }

    void deliver(LongFunction<Event> event) {
        if (alive) {
            inbox.add(event);
        }
    }

    /** Applies all pending events and then {@code lastEvent}; returns the transitions. */
    List<Transition> processEvents(long nowMillis, LongFunction<Event> lastEvent) {
        List<Transition> transitions = new ArrayList<>();
        List<LongFunction<Event>> events = new ArrayList<>(inbox);
        inbox.clear();
        events.add(lastEvent);
        for (LongFunction<Event> event : events) {
            Transition transition = reducer.apply(state, event.apply(nowMillis));
            state = transition.state();
            transitions.add(transition);
            for (var effect : transition.effects()) {
                if (effect instanceof LogDecision decision) {
                    decisions.add(decision);
                }
            }
        }
        return transitions;
    }
}
