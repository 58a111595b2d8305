package org.jujubefork.core.model;

/** Checks that identifiers share. */
final class Identifiers {
    /** Longest identifier, in characters. */
    static final int MAX_LENGTH = 200;

    private Identifiers() {}

    /**
     * Checks an identifier.
     *
     * @throws IllegalArgumentException if {@code value} is empty, too long, or has a character
     *     other than letters, digits, {@code . _ - / : #}
     */
    static void check(String description, String value) {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    description
                            + " must have 1 to "
                            + MAX_LENGTH
                            + " characters, but has "
                            + value.length());
        }
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (!isAllowed(c)) {
                throw new IllegalArgumentException(
                        description
                                + " has the character '"
                                + c
                                + "' at index "
                                + i
                                + ": "
                                + value);
            }
        }
    }

    private static boolean isAllowed(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || "._-/:#".indexOf(c) >= 0;
    }
}
