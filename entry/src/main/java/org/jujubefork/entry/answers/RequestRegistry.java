package org.jujubefork.entry.answers;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.jujubefork.client.http.ChunkSink;
import org.jujubefork.core.model.RequestId;

/**
 * The bodies of open requests and the sinks of their answers. This class holds only traffic; the
 * control thread decides what happens to a request.
 */
public final class RequestRegistry {
    /**
     * A request that has not been removed yet.
     *
     * @param body the body of the request
     * @param sink receives the answer
     */
    @SuppressWarnings("ArrayRecordComponent") // avoids copies of bodies of up to 1 MiB
    private record OpenRequest(byte[] body, AnswerSink sink) {}

    /**
     * Receives an answer, for a caller of this entry or for the entry that forwarded the request.
     */
    public interface AnswerSink extends ChunkSink {
        /** Marks the answer as complete and sets its media type. */
        void finish(String contentType);
    }

    private final ConcurrentHashMap<RequestId, OpenRequest> openRequests =
            new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, AnswerChannel> channels = new ConcurrentHashMap<>();

    /** Adds a request whose answer is written to {@code sink}. */
    public void add(RequestId request, byte[] body, AnswerSink sink) {
        openRequests.put(request, new OpenRequest(body, sink));
    }

    /** Adds a request of a caller of this entry, whose answer is written to {@code channel}. */
    public void add(RequestId request, byte[] body, AnswerChannel channel) {
        channels.put(request, channel);
        add(request, body, sinkOf(channel));
    }

    /** Returns the body of an open request, or empty if the request is not open. */
    public Optional<byte[]> body(RequestId request) {
        return Optional.ofNullable(openRequests.get(request)).map(OpenRequest::body);
    }

    /** Returns the sink of an open request's answer, or empty if the request is not open. */
    public Optional<AnswerSink> sink(RequestId request) {
        return Optional.ofNullable(openRequests.get(request)).map(OpenRequest::sink);
    }

    /**
     * Returns the channel to the caller, or empty if the request is not open or was forwarded by
     * another entry.
     */
    public Optional<AnswerChannel> channel(RequestId request) {
        return Optional.ofNullable(channels.get(request));
    }

    /** Removes a request; does nothing if it is not open. */
    public void remove(RequestId request) {
        openRequests.remove(request);
        channels.remove(request);
    }

    /** Returns the number of open requests, without those that other entries have forwarded. */
    public int callerRequestCount() {
        return channels.size();
    }

    private static AnswerSink sinkOf(AnswerChannel channel) {
        return new AnswerSink() {
            @Override
            public void accept(byte[] chunk) throws IOException {
                channel.accept(chunk);
            }

            @Override
            public void finish(String contentType) {
                channel.finish(contentType);
            }
        };
    }
}
