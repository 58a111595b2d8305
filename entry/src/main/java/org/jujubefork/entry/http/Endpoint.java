package org.jujubefork.entry.http;

import java.io.IOException;

/** Handles the requests to one route. Runs on a virtual thread and may block. */
@FunctionalInterface
public interface Endpoint {
    /**
     * Handles {@code exchange} and sends its response.
     *
     * @param variable the variable segment of the route's path; empty if the route has none
     * @throws IOException if the connection to the caller is lost
     * @throws InterruptedException if the server is stopped
     * @throws BodyException if the request body is too large or truncated
     */
    void handle(Exchange exchange, String variable)
            throws IOException, InterruptedException, BodyException;
}
