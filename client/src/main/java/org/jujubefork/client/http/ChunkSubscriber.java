package org.jujubefork.client.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Flow;

/**
 * Passes a response body to a sink and requests more data only after the sink has consumed the data
 * received so far.
 */
final class ChunkSubscriber implements Flow.Subscriber<List<ByteBuffer>> {
    private final ChunkSink sink;
    // Needs no synchronization: the HTTP client calls a subscriber's methods sequentially, with a
    // happens-before edge between calls.
    private Flow.Subscription subscription;
    private long streamedBytes;

    private ChunkSubscriber(ChunkSink sink) {
        this.sink = sink;
    }

    /** Returns a subscriber whose result is the number of bytes passed to {@code sink}. */
    static BodySubscriber<Long> to(ChunkSink sink) {
        return BodySubscribers.fromSubscriber(new ChunkSubscriber(sink), s -> s.streamedBytes);
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        newSubscription.request(1);
    }

    /** Throws if the sink fails; the HTTP client then cancels the subscription and the call. */
    @Override
    public void onNext(List<ByteBuffer> buffers) {
        try {
            for (ByteBuffer buffer : buffers) {
                forward(buffer);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("response sink failed: " + e.getMessage(), e);
        }
        subscription.request(1);
    }

    private void forward(ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            byte[] chunk = new byte[Math.min(buffer.remaining(), ChunkSink.MAX_CHUNK_BYTES)];
            buffer.get(chunk);
            streamedBytes += chunk.length;
            sink.accept(chunk);
        }
    }

    @Override
    public void onError(Throwable failure) {
        // The enclosing body subscriber reports the failure to the caller.
    }

    @Override
    public void onComplete() {
        // The enclosing body subscriber reads the byte count.
    }
}
