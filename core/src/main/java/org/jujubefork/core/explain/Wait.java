package org.jujubefork.core.explain;

import java.util.Optional;

/**
 * One reason for which work waits.
 *
 * @param reason the reason
 * @param have how much of what is needed is there, for example tasks of a gang that fit now; 0
 *     where that has no meaning
 * @param need how much is needed, or how many tasks are concerned; 0 where that has no meaning
 * @param limit the figures of a wait for the upper limit of the team; empty for other reasons
 */
public record Wait(WaitReason reason, long have, long need, Optional<LimitFigures> limit) {
    /** Creates a reason that has nothing to do with upper limits. */
    public Wait(WaitReason reason, long have, long need) {
        this(reason, have, need, Optional.empty());
    }

    /** Returns a wait for the upper limit of a team. */
    public static Wait of(LimitFigures limit) {
        return new Wait(WaitReason.LIMIT_REACHED, 0, 0, Optional.of(limit));
    }

    /** Returns a reason without figures. */
    public static Wait of(WaitReason reason) {
        return new Wait(reason, 0, 0);
    }
}
