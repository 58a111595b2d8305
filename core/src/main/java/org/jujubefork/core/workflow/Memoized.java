package org.jujubefork.core.workflow;

import java.util.function.Supplier;

/**
 * A value that is computed when it is first asked for. Mutable; used on the control thread only.
 *
 * @param <T> the type of the value
 */
final class Memoized<T> implements Supplier<T> {
    private final Supplier<T> computation;
    private T value;

    Memoized(Supplier<T> computation) {
        this.computation = computation;
    }

    @Override
    public T get() {
        if (value == null) {
            value = computation.get();
        }
        return value;
    }
}
