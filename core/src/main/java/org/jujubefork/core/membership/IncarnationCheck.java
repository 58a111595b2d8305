package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.model.EntryId;

/** Recognises that a newer run of this entry has taken its place. */
final class IncarnationCheck {
    private IncarnationCheck() {}

    /**
     * Stops taking work if {@code id}, which has this entry's name, is a newer run. Other entries
     * ignore this run from then on, so it could not hold shards.
     */
    static Transition drainIfSuperseded(State state, EntryId id) {
        if (id.incarnation() <= state.self().id().incarnation() || state.draining()) {
            return Transition.of(state);
        }
        return Transition.of(state.withDraining())
                .with(
                        new LogDecision(
                                DecisionKind.MEMBER,
                                state.self().id().toString(),
                                Optional.empty(),
                                "draining",
                                "replaced by " + id,
                                0,
                                0));
    }
}
