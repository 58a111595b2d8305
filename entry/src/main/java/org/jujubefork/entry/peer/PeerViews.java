package org.jujubefork.entry.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/** Fetches operator views from other entries, and serves the views of this entry to them. */
public final class PeerViews {
    /** Maximum size of the view of one entry, in bytes; 1,100 tasks take about 0.4 MB. */
    static final int MAX_VIEW_BYTES = 4 * 1024 * 1024;

    /**
     * A fetch whose view has not been received completely.
     *
     * @param peerAddress address of the entry that was asked
     * @param receivedBytes the parts received so far
     * @param result completes with the whole view
     */
    private record PendingFetch(
            String peerAddress,
            ByteArrayOutputStream receivedBytes,
            CompletableFuture<byte[]> result) {}

    private final Function<String, Optional<byte[]>> ownViews;
    private final PeerTransport transport;
    private final AtomicLong lastCorrelationId = new AtomicLong();
    private final ConcurrentHashMap<Long, PendingFetch> pendingFetches = new ConcurrentHashMap<>();

    PeerViews(Function<String, Optional<byte[]>> ownViews, PeerTransport transport) {
        this.ownViews = ownViews;
        this.transport = transport;
    }

    /**
     * Fetches a view from the entry at {@code peerAddress}.
     *
     * @return the view in the JSON form of the API; fails with an {@link IOException} if the entry
     *     cannot be reached or cannot provide the view, and with a {@link
     *     java.util.concurrent.TimeoutException} after {@code timeout}
     */
    public CompletableFuture<byte[]> fetch(String peerAddress, String view, Duration timeout) {
        long correlationId = lastCorrelationId.incrementAndGet();
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        pendingFetches.put(
                correlationId, new PendingFetch(peerAddress, new ByteArrayOutputStream(), result));
        transport.offer(
                peerAddress,
                new PeerLink.FrameBatch(
                        List.of(Frame.of(correlationId, new PeerMessage.ViewFetch(view))),
                        maybeSent ->
                                result.completeExceptionally(
                                        new IOException("the entry is unreachable"))));
        return result.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((bytes, failure) -> pendingFetches.remove(correlationId));
    }

    /** Sends {@code view} to {@code sender}, or zero bytes if it is not available or too large. */
    void serve(PeerMessage.Hello sender, long correlationId, String view) {
        Thread.startVirtualThread(
                () -> {
                    byte[] bytes =
                            ownViews.apply(view)
                                    .filter(b -> b.length <= MAX_VIEW_BYTES)
                                    .orElse(new byte[0]);
                    transport.offer(
                            sender.peerAddress(),
                            new PeerLink.FrameBatch(
                                    toFrames(correlationId, bytes), maybeSent -> {}));
                });
    }

    private static List<Frame> toFrames(long correlationId, byte[] bytes) {
        List<Frame> frames = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(bytes.length, from + Frame.MAX_CHUNK_BYTES);
            byte[] part = Arrays.copyOfRange(bytes, from, to);
            frames.add(Frame.of(correlationId, new PeerMessage.ViewPart(part, to == bytes.length)));
            from = to;
        } while (from < bytes.length);
        return frames;
    }

    /** Adds a part of a view. The parts of a view arrive in order, on one connection. */
    void receivePart(PeerMessage.Hello sender, long correlationId, PeerMessage.ViewPart part) {
        PendingFetch fetch = pendingFetches.get(correlationId);
        if (fetch == null || !fetch.peerAddress().equals(sender.peerAddress())) {
            return;
        }
        if (fetch.receivedBytes().size() + part.bytes().length > MAX_VIEW_BYTES) {
            fetch.result()
                    .completeExceptionally(new IOException("the view exceeds the maximum size"));
            return;
        }
        fetch.receivedBytes().writeBytes(part.bytes());
        if (part.last() && fetch.receivedBytes().size() == 0) {
            fetch.result().completeExceptionally(new IOException("the view is not available"));
        } else if (part.last()) {
            fetch.result().complete(fetch.receivedBytes().toByteArray());
        }
    }
}
