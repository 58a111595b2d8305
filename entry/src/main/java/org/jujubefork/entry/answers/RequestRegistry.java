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
    private record Open(byte[] body, Sink sink) {}

    /**
     * Where an answer goes: to a caller of this entry, or to the entry that forwarded the request.
     */
    public interface Sink extends ChunkSink {
        /** Marks the answer as complete. */
        void finish(String contentType);
    }

    private final ConcurrentHashMap<RequestId, Open> open = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, AnswerChannel> channels = new ConcurrentHashMap<>();

    /** Adds a request whose answer goes to {@code sink}. */
    public void add(RequestId request, byte[] body, Sink sink) {
        open.put(request, new Open(body, sink));
    }

    /** Adds a request of a caller of this entry. */
    public void add(RequestId request, byte[] body, AnswerChannel channel) {
        channels.put(request, channel);
        add(request, body, sinkOf(channel));
    }

    /** Returns what the caller sent. */
    public Optional<byte[]> body(RequestId request) {
        return Optional.ofNullable(open.get(request)).map(Open::body);
    }

    /** Returns where the answer goes. */
    public Optional<Sink> sink(RequestId request) {
        return Optional.ofNullable(open.get(request)).map(Open::sink);
    }

    /** Returns the channel to a caller of this entry. */
    public Optional<AnswerChannel> channel(RequestId request) {
        return Optional.ofNullable(channels.get(request));
    }

    /** Forgets a request. */
    public void remove(RequestId request) {
        open.remove(request);
        channels.remove(request);
    }

    /** Returns how many requests of callers are open. */
    public int callers() {
        return channels.size();
    }

    private static Sink sinkOf(AnswerChannel channel) {
        return new Sink() {
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
