package org.jujubefork.core.control;

import java.util.function.Function;
import org.jujubefork.core.effect.Effect;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The result of applying an event: the new state and the effects to carry out.
 *
 * @param state the new state
 * @param effects effects in the order in which they must be carried out
 */
public record Transition(State state, PVector<Effect> effects) {
    /** Returns a transition to {@code state} without effects. */
    public static Transition of(State state) {
        return new Transition(state, TreePVector.empty());
    }

    /** Returns this transition with {@code effect} appended. */
    public Transition with(Effect effect) {
        return new Transition(state, effects.plus(effect));
    }

    /** Returns this transition with the state replaced and the effects unchanged. */
    public Transition withState(State other) {
        return new Transition(other, effects);
    }

    /**
     * Returns this transition followed by {@code nextStep}, which is applied to this transition's
     * state.
     */
    public Transition then(Function<State, Transition> nextStep) {
        Transition following = nextStep.apply(state);
        return new Transition(
                following.state,
                effects.isEmpty() ? following.effects : effects.plusAll(following.effects));
    }
}
