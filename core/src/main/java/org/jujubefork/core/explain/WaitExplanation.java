package org.jujubefork.core.explain;

import java.util.Optional;

/**
 * One reason why work waits, with the amounts concerned.
 *
 * @param reason the reason
 * @param available amount that is available now, for example the number of tasks of a gang that
 *     fit; 0 if not applicable
 * @param required amount that is required, or number of tasks or workers concerned; 0 if not
 *     applicable
 * @param limitUsage limit, budget and usage of the team if the reason is {@link
 *     WaitReason#LIMIT_REACHED}; empty for other reasons
 */
public record WaitExplanation(
        WaitReason reason, long available, long required, Optional<LimitUsage> limitUsage) {
    /** Creates an explanation for a reason other than {@link WaitReason#LIMIT_REACHED}. */
    public WaitExplanation(WaitReason reason, long available, long required) {
        this(reason, available, required, Optional.empty());
    }

    /** Returns an explanation for work that waits because of the upper limit of its team. */
    public static WaitExplanation of(LimitUsage limitUsage) {
        return new WaitExplanation(WaitReason.LIMIT_REACHED, 0, 0, Optional.of(limitUsage));
    }

    /** Returns an explanation without amounts. */
    public static WaitExplanation of(WaitReason reason) {
        return new WaitExplanation(reason, 0, 0);
    }
}
