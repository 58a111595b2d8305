package org.jujubefork.config.source;

/** The kinds of JSON values; numbers are divided by whether they have a fraction or exponent. */
public enum SourceKind {
    /** An object. */
    OBJECT("an object"),
    /** An array. */
    ARRAY("an array"),
    /** A string. */
    STRING("a string"),
    /** A number without fraction and exponent. */
    INTEGER("a whole number"),
    /** A number with fraction or exponent. */
    DECIMAL("a number with a fraction"),
    /** {@code true} or {@code false}. */
    BOOLEAN("a boolean"),
    /** {@code null}. */
    NULL("null");

    private final String description;

    SourceKind(String description) {
        this.description = description;
    }

    /** Returns the name of the kind with its article, for error messages. */
    public String description() {
        return description;
    }
}
