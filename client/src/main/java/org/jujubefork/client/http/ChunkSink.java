package org.jujubefork.client.http;

import java.io.IOException;

/** Receives a response body in order, in chunks. */
@FunctionalInterface
public interface ChunkSink {
    /** Largest chunk, in bytes. */
    int MAX_CHUNK_BYTES = 64 * 1024;

    /**
     * Consumes the next chunk. Blocking here delays reads from the connection, which applies
     * backpressure to the sender. Calls are sequential and run on threads of the transport.
     *
     * @param chunk 1 to {@link #MAX_CHUNK_BYTES} bytes; the sink owns the array
     * @throws IOException if the chunk cannot be consumed; the call is then aborted
     */
    void accept(byte[] chunk) throws IOException;
}
