package org.jujubefork.entry.control;

import org.jujubefork.core.effect.Effect;

/**
 * Executes effects. Called in the control thread, so implementations must not block; they pass
 * blocking work to another thread.
 *
 * @param <E> the type of effect
 */
@FunctionalInterface
public interface EffectExecutor<E extends Effect> {
    /** Executes {@code effect}, or passes it to another thread for execution. */
    void execute(E effect);
}
