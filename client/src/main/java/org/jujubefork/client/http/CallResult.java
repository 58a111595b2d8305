package org.jujubefork.client.http;

import java.net.http.HttpHeaders;

/** Outcome of an HTTP call. */
public sealed interface CallResult {
    /**
     * The complete response was received.
     *
     * @param status HTTP status code
     * @param headers response headers
     * @param body response body; empty if the body was passed to a {@link ChunkSink}
     * @param streamedBytes number of body bytes passed to the sink
     */
    @SuppressWarnings("ArrayRecordComponent") // never compared; avoids a copy of each body
    record Response(int status, HttpHeaders headers, byte[] body, long streamedBytes)
            implements CallResult {}

    /**
     * No connection was established, so the server received nothing.
     *
     * @param reason description of the failure, for logs
     */
    record NotConnected(String reason) implements CallResult {}

    /**
     * The call failed after a connection was established, so the server may have processed it.
     *
     * @param reason description of the failure, for logs
     * @param timedOut whether the call failed because its time limit was reached
     */
    record Unknown(String reason, boolean timedOut) implements CallResult {}
}
