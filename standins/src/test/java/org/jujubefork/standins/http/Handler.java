package org.jujubefork.standins.http;

/** Answers requests; runs on a virtual thread and may block. */
@FunctionalInterface
public interface Handler {
    /**
     * Returns the answer.
     *
     * @throws IllegalArgumentException if the request is malformed; answered with 400 INVALID
     */
    Reply handle(Call call) throws InterruptedException;
}
