package org.jujubefork.client.http;

import java.io.IOException;

/** Receives a response body in order, in chunks. */
@FunctionalInterface
public interface ChunkSink {
    /** Largest chunk, in bytes. */
    int MAX_CHUNK_BYTES = 64 * 1024;

    /**
     * Takes the next chunk. Blocking here delays reading from the connection, which is the flow
     * control towards the sender. Calls come one at a time, on threads of the transport.
     *
     * @param chunk 1 to {@link #MAX_CHUNK_BYTES} bytes; the receiver owns the array
     * @throws IOException if the chunk cannot be passed on; the call is then aborted
     */
    void accept(byte[] chunk) throws IOException;
}
