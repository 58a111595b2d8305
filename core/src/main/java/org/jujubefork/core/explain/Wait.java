package org.jujubefork.core.explain;

import java.util.Optional;

/**
 * A reason why work waits, with the amounts that are available and required.
 *
 * @param reason the reason
 * @param available amount that is available now, for example the number of tasks of a gang that
 *     fit; 0 if not applicable
 * @param required amount that is required, or number of tasks, teams or workers to which the reason
 *     applies; 0 if not applicable
 * @param limitUsage limit, budget and usage of the team if the reason is {@link
 *     WaitReason#LIMIT_REACHED}; empty for other reasons
 */
public record Wait(
        WaitReason reason, long available, long required, Optional<LimitUsage> limitUsage) {
    /** Creates a wait for a reason other than {@link WaitReason#LIMIT_REACHED}. */
    public Wait(WaitReason reason, long available, long required) {
        this(reason, available, required, Optional.empty());
    }

    /** Returns a wait because of the upper limit of a team. */
    public static Wait of(LimitUsage limitUsage) {
        return new Wait(WaitReason.LIMIT_REACHED, 0, 0, Optional.of(limitUsage));
    }

    /** Returns a wait without amounts. */
    public static Wait of(WaitReason reason) {
        return new Wait(reason, 0, 0);
    }
}
