package org.jujubefork.config.cell;

import java.util.Optional;

/**
 * One difference between two configuration documents, printed as a line of a diff.
 *
 * @param path the changed value, such as {@code base teams[plots].weight}; list elements are
 *     identified by their name or id
 * @param before the old JSON literal; empty if the value was added
 * @param after the new JSON literal; empty if the value was removed
 */
public record ConfigurationChange(String path, Optional<String> before, Optional<String> after) {
    /** Whether the value was added, removed or modified. */
    public enum Kind {
        /** Only the new document has the value. */
        ADDED,
        /** Only the old document has the value. */
        REMOVED,
        /** Both documents have the value, but it differs. */
        CHANGED
    }

    /** Returns whether the value was added, removed or changed. */
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
