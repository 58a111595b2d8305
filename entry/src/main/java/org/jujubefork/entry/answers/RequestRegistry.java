package org.jujubefork.entry.answers;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.jujubefork.client.http.ChunkSink;
import org.jujubefork.core.model.RequestId;

/**
 * The bodies of open requests and where their answers go. Holds traffic only; what is to happen
 * with a request is decided by the control thread.
 */
public final class RequestRegistry {
    /**
     * An open request.
     *
     * @param body what the caller sent
     * @param sink where the answer goes
     */
    @SuppressWarnings("ArrayRecordComponent") // bodies of up to 1 MiB are not copied
    private record OpenRequest(byte[] body, AnswerSink sink) {}

    /**
     * Where an answer goes: to a caller of this entry, or to the entry that forwarded the request.
     */
    public interface AnswerSink extends ChunkSink {
        /** Marks the answer as complete. */
        void finish(String contentType);
    }

    private final ConcurrentHashMap<RequestId, OpenRequest> openRequests =
            new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, AnswerChannel> channels = new ConcurrentHashMap<>();

    /** Adds a request whose answer goes to {@code sink}. */
    public void add(RequestId request, byte[] body, AnswerSink sink) {
        openRequests.put(request, new OpenRequest(body, sink));
    }

    /** Adds a request of a caller of this entry. */
    public void add(RequestId request, byte[] body, AnswerChannel channel) {
        channels.put(request, channel);
        add(request, body, sinkOf(channel));
    }

    /** Returns what the caller sent. */
    public Optional<byte[]> body(RequestId request) {
        return Optional.ofNullable(openRequests.get(request)).map(OpenRequest::body);
    }

    /** Returns where the answer goes. */
    public Optional<AnswerSink> sink(RequestId request) {
        return Optional.ofNullable(openRequests.get(request)).map(OpenRequest::sink);
    }

    /** Returns the channel to a caller of this entry. */
    public Optional<AnswerChannel> channel(RequestId request) {
        return Optional.ofNullable(channels.get(request));
    }

    /** Forgets a request. */
    public void remove(RequestId request) {
        openRequests.remove(request);
        channels.remove(request);
    }

    /** Returns how many requests of callers are open. */
    public int callerRequestCount() {
        return channels.size();
    }

    private static AnswerSink sinkOf(AnswerChannel channel) {
        return new AnswerSink() {
            @Override
            public void chunk(byte[] chunk) throws IOException {
                channel.chunk(chunk);
            }

            @Override
            public void finish(String contentType) {
                channel.finish(contentType);
            }
        };
    }
}
