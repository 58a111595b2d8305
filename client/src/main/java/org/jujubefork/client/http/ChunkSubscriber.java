package org.jujubefork.client.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Flow;

/** Passes a response body to a sink; asks for more only when the sink has taken what came. */
final class ChunkSubscriber implements Flow.Subscriber<List<ByteBuffer>> {
    private final ChunkSink sink;
    // The HTTP client calls the methods of a subscriber one after the other, with a happens-before
    // edge between them.
    private Flow.Subscription subscription;
    private long streamedBytes;

    private ChunkSubscriber(ChunkSink sink) {
        this.sink = sink;
    }

    /** Returns a subscriber whose body is the number of bytes that went to {@code sink}. */
    static BodySubscriber<Long> to(ChunkSink sink) {
        return BodySubscribers.fromSubscriber(new ChunkSubscriber(sink), s -> s.streamedBytes);
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        newSubscription.request(1);
    }

    /** Fails if the sink fails; the HTTP client then cancels the subscription and the call. */
    @Override
    public void onNext(List<ByteBuffer> buffers) {
        try {
            for (ByteBuffer buffer : buffers) {
                forward(buffer);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("sink failed: " + e.getMessage(), e);
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
        // The body subscriber around this one reports the failure to the caller.
    }

    @Override
    public void onComplete() {
        // The body subscriber around this one asks for the total.
    }
}
