package org.jujubefork.entry.control;

import org.jujubefork.core.effect.Effect;

/**
 * Carries out effects of one family. Must return at once; anything that blocks goes to another
 * thread.
 */
@FunctionalInterface
public interface EffectExecutor<E extends Effect> {
    /** Carries out {@code effect}, or has another thread do so. */
    void execute(E effect);
}
