package org.jujubefork.core.explain;

import java.util.Optional;

/**
 * One reason for which work waits.
 *
 * @param reason the reason
 * @param available how much of what is needed is there, for example tasks of a gang that fit now; 0
 *     where that has no meaning
 * @param required how much is needed, or how many tasks are concerned; 0 where that has no meaning
 * @param limitUsage the figures of a wait for the upper limit of the team; empty for other reasons
 */
public record WaitExplanation(
        WaitReason reason, long available, long required, Optional<LimitUsage> limitUsage) {
    /** Creates a reason that has nothing to do with upper limits. */
    public WaitExplanation(WaitReason reason, long have, long need) {
        this(reason, have, need, Optional.empty());
    }

    /** Returns a wait for the upper limit of a team. */
    public static WaitExplanation of(LimitUsage limitUsage) {
        return new WaitExplanation(WaitReason.LIMIT_REACHED, 0, 0, Optional.of(limitUsage));
    }

    /** Returns a reason without figures. */
    public static WaitExplanation of(WaitReason reason) {
        return new WaitExplanation(reason, 0, 0);
    }
}
