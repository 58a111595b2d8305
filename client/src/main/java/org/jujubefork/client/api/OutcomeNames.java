package org.jujubefork.client.api;

import java.util.Locale;
import org.jujubefork.core.model.Outcome;

/** Names of outcomes in the {@code Jujube-Outcome} header and in {@link ErrorView}. */
public final class OutcomeNames {
    private OutcomeNames() {}

    /** Returns {@code done}, {@code not-run} or {@code unknown}. */
    public static String of(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the outcome with the name {@code name}.
     *
     * @throws IllegalArgumentException if {@code name} is not the name of an outcome
     */
    public static Outcome parse(String name) {
        for (Outcome outcome : Outcome.values()) {
            if (of(outcome).equals(name)) {
                return outcome;
            }
        }
        throw new IllegalArgumentException(
                "outcome must be done, not-run or unknown, but is " + name);
    }
}
