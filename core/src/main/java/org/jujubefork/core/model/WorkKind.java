package org.jujubefork.core.model;

/** The kinds of work, each with its own queue order and placement policy. */
public enum WorkKind {
    /** A short idempotent request, which may be executed more than once. */
    LOOKUP(true),
    /** A short non-idempotent request, which is executed at most once. */
    COMMAND(true),
    /** A job whose tasks run independently to completion. */
    BATCH(false),
    /** A job whose replicas run until it is cancelled. */
    SERVICE(false),
    /** A job whose tasks must all run at the same time. */
    GANG(false);

    private final boolean isRequest;

    WorkKind(boolean request) {
        this.isRequest = request;
    }

    /** Returns whether work of this kind is a short request with an answer body. */
    public boolean isRequest() {
        return isRequest;
    }
}
