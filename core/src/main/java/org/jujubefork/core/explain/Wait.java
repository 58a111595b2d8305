package org.jujubefork.core.explain;

/**
 * One reason for which work waits.
 *
 * @param reason the reason
 * @param have how much of what is needed is there, for example tasks of a gang that fit now; 0
 *     where that has no meaning
 * @param need how much is needed, or how many tasks are concerned; 0 where that has no meaning
 */
public record Wait(WaitReason reason, long have, long need) {
    /** Returns a reason without figures. */
    public static Wait of(WaitReason reason) {
        return new Wait(reason, 0, 0);
    }
}
