package org.jujubefork.client.http;

import java.net.http.HttpHeaders;

/** What is known after an HTTP call. */
public sealed interface CallResult {
    /**
     * The server answered completely.
     *
     * @param status HTTP status code
     * @param headers response headers
     * @param body the response body; empty if the body went to a {@link ChunkSink}
     * @param streamedBytes number of body bytes that went to the sink
     */
    @SuppressWarnings("ArrayRecordComponent") // compared nowhere; a copy of each body is waste
    record Response(int status, HttpHeaders headers, byte[] body, long streamedBytes)
            implements CallResult {}

    /**
     * No connection was established, so no byte can have reached the server.
     *
     * @param reason the failure, for logs
     */
    record NotConnected(String reason) implements CallResult {}

    /**
     * A connection existed, so the server may have acted on the call.
     *
     * @param reason the failure, for logs
     * @param timedOut whether the call's time limit was reached
     */
    record Unknown(String reason, boolean timedOut) implements CallResult {}
}
