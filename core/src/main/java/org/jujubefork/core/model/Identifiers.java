package org.jujubefork.core.model;

/** Validation of identifiers. */
final class Identifiers {
    /** Maximum length of an identifier, in characters. */
    static final int MAX_LENGTH = 200;

    private Identifiers() {}

    /**
     * Checks that {@code value} is a valid identifier; {@code description} names it in error
     * messages.
     *
     * @throws IllegalArgumentException if {@code value} is empty, too long, or contains a character
     *     other than ASCII letters, digits and {@code . _ - / : #}
     */
    static void check(String description, String value) {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    description
                            + " must have 1 to "
                            + MAX_LENGTH
                            + " characters, but its length is "
                            + value.length());
        }
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (!isAllowed(c)) {
                throw new IllegalArgumentException(
                        description
                                + " contains the invalid character '"
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
