package org.jujubefork.entry.control;

import org.jujubefork.core.effect.Effect;

/**
 * Executes effects. Runs in the control thread, so it must not block; blocking work is passed to
 * another thread.
 *
 * @param <E> the type of effect
 */
@FunctionalInterface
public interface EffectExecutor<E extends Effect> {
    /** Executes {@code effect}, or passes it to another thread for execution. */
    void execute(E effect);
}
