package org.jujubefork.core.model;

/** What is known about a request once it is answered. */
public enum Outcome {
    /** The request ran and its whole answer is known. */
    DONE,
    /** No start of the request can have taken effect. */
    NOT_RUN,
    /** A start may have taken effect, but the answer is not known. */
    UNKNOWN
}
