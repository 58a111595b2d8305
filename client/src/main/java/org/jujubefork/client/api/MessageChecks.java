package org.jujubefork.client.api;

import java.util.List;

/** Checks that the messages share. */
final class MessageChecks {
    private MessageChecks() {}

    /**
     * Checks that a value is given.
     *
     * @throws IllegalArgumentException if {@code value} is null
     */
    static void requirePresent(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException("the field \"" + name + "\" is missing");
        }
    }

    /** Returns a copy of {@code list}; an empty one if it was left out. */
    static <T> List<T> copyOrEmpty(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }
}
