package org.jujubefork.core.membership;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.model.EntryId;

/** Detects that a newer incarnation of this entry is running. */
final class IncarnationCheck {
    private IncarnationCheck() {}

    /**
     * Drains this entry if {@code id}, which has this entry's name, is a newer incarnation. Entries
     * that know the newer incarnation ignore this incarnation, so this entry cannot own shards any
     * more.
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
                                "replaced by newer incarnation " + id,
                                0,
                                0));
    }
}
