package org.jujubefork.config.source;

/** The kinds of JSON values; numbers are divided by whether they have a fraction or exponent. */
public enum SourceKind {
    /** A JSON object, in braces. */
    OBJECT("an object"),
    /** A JSON array, in brackets. */
    ARRAY("an array"),
    /** A JSON string, in quotes. */
    STRING("a string"),
    /** A JSON number without fraction and exponent. */
    INTEGER("a whole number"),
    /** A JSON number with fraction or exponent. */
    DECIMAL("a number with a fraction"),
    /** The JSON literal {@code true} or {@code false}. */
    BOOLEAN("a boolean"),
    /** The JSON literal {@code null}. */
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
