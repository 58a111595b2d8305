package org.jujubefork.config.cell;

import java.util.Optional;

/**
 * One difference between two configuration documents.
 *
 * @param path which value differs, such as {@code base teams[plots].weight}; elements of lists are
 *     named by their name or id
 * @param before the JSON literal before, empty if the value is new
 * @param after the JSON literal after, empty if the value was removed
 */
public record ConfigurationChange(String path, Optional<String> before, Optional<String> after) {
    /** What happened to a value. */
    public enum Kind {
        /** The value is new. */
        ADDED,
        /** The value was removed. */
        REMOVED,
        /** The value is another one. */
        CHANGED
    }

    /** Returns what happened to the value. */
    public Kind kind() {
        if (before.isEmpty()) {
            return Kind.ADDED;
        }
        return after.isEmpty() ? Kind.REMOVED : Kind.CHANGED;
    }

    @Override
    public String toString() {
        return switch (kind()) {
            case ADDED -> "+ " + path + " = " + after.orElseThrow();
            case REMOVED -> "- " + path + " = " + before.orElseThrow();
            case CHANGED ->
                    "~ " + path + ": " + before.orElseThrow() + " -> " + after.orElseThrow();
        };
    }
}
