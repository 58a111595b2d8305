package org.jujubefork.core.workflow;

import java.util.function.Function;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The result of reducing an event.
 *
 * @param state the new state
 * @param effects the effects, in the order in which they are to be carried out
 */
public record WorkflowTransition(WorkflowState state, PVector<WorkflowEffect> effects) {
    /** Returns a transition to {@code state} without effects. */
    public static WorkflowTransition of(WorkflowState state) {
        return new WorkflowTransition(state, TreePVector.empty());
    }

    /** Returns a copy with {@code effect} appended. */
    public WorkflowTransition with(WorkflowEffect effect) {
        return new WorkflowTransition(state, effects.plus(effect));
    }

    /** Returns a copy with {@code other} as the state. */
    public WorkflowTransition withState(WorkflowState other) {
        return new WorkflowTransition(other, effects);
    }

    /**
     * Returns the transition that results from applying {@code next} to this transition's state;
     * the effects of {@code next} are appended to the effects of this transition.
     */
    public WorkflowTransition then(Function<WorkflowState, WorkflowTransition> next) {
        WorkflowTransition following = next.apply(state);
        return new WorkflowTransition(
                following.state,
                effects.isEmpty() ? following.effects : effects.plusAll(following.effects));
    }
}
