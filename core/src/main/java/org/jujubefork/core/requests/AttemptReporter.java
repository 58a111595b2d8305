package org.jujubefork.core.requests;

import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.placement.RequestOrigin;

/**
 * Reports the result of an attempt from the owner of a shard to the entry that serves the caller.
 */
public final class AttemptReporter {
    private AttemptReporter() {}

    /**
     * Reports {@code result} to the entry that forwarded the request, or handles it here if this
     * entry received the request from the caller.
     */
    public static Transition report(State state, RequestOrigin origin, AttemptResult result) {
        return origin.forwardedBy()
                .map(
                        entry ->
                                Transition.of(state)
                                        .with(
                                                new RequestEffect.AnswerForward(
                                                        origin.request(), entry, result)))
                .orElseGet(() -> Requests.attemptEnded(state, origin.request(), result));
    }
}
