package org.jujubefork.client.api;

import java.util.List;

/** Checks and copies that the constructors of API messages share. */
final class MessageChecks {
    private MessageChecks() {}

    /**
     * Checks that the value of a required field is present.
     *
     * @throws IllegalArgumentException if {@code value} is null
     */
    static void requirePresent(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException("the field \"" + name + "\" is missing");
        }
    }

    /** Returns a copy of {@code list}; an empty list if the field was omitted. */
    static <T> List<T> copyOrEmpty(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }
}
