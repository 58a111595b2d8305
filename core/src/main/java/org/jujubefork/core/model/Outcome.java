package org.jujubefork.core.model;

/** Whether an answered request ran, as far as is known. */
public enum Outcome {
    /** The request ran, and its complete answer was received. */
    DONE,
    /** The request certainly did not run. */
    NOT_RUN,
    /** The request may have run, but its answer was not received. */
    UNKNOWN
}
