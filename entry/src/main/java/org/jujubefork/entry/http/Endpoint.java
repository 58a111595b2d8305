package org.jujubefork.entry.http;

import java.io.IOException;

/** Handles the requests to one path. Runs on a virtual thread and may block. */
@FunctionalInterface
public interface Endpoint {
    /**
     * Handles {@code exchange}; {@code variable} is the part of the path that the route leaves
     * open.
     *
     * @throws IOException if the connection breaks
     * @throws InterruptedException if the server is stopped
     * @throws BodyException if the body cannot be used
     */
    void handle(Exchange exchange, String variable)
            throws IOException, InterruptedException, BodyException;
}
