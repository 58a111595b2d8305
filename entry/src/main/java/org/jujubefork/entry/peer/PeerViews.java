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

/** Fetches views for operators from other entries, and gives them those of this entry. */
public final class PeerViews {
    /** Longest view of one entry, in bytes; 1,100 tasks take about 0.4 MB. */
    static final int MAX_BYTES = 4 * 1024 * 1024;

    /**
     * A view that is being fetched.
     *
     * @param peerAddress the entry that was asked
     * @param bytes what has come
     * @param whole completes with the view
     */
    private record Fetch(
            String peerAddress, ByteArrayOutputStream bytes, CompletableFuture<byte[]> whole) {}

    private final Function<String, Optional<byte[]>> own;
    private final PeerTransport transport;
    private final AtomicLong correlations = new AtomicLong();
    private final ConcurrentHashMap<Long, Fetch> fetches = new ConcurrentHashMap<>();

    PeerViews(Function<String, Optional<byte[]>> own, PeerTransport transport) {
        this.own = own;
        this.transport = transport;
    }

    /**
     * Fetches a view.
     *
     * @return the view; fails with an {@link IOException} or after {@code timeout}
     */
    public CompletableFuture<byte[]> fetch(String peerAddress, String view, Duration timeout) {
        long correlation = correlations.incrementAndGet();
        CompletableFuture<byte[]> whole = new CompletableFuture<>();
        fetches.put(correlation, new Fetch(peerAddress, new ByteArrayOutputStream(), whole));
        transport.offer(
                peerAddress,
                new PeerLink.Parcel(
                        List.of(Frame.of(correlation, new PeerMessage.ViewFetch(view))),
                        sent -> whole.completeExceptionally(new IOException("not reachable"))));
        return whole.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((bytes, failure) -> fetches.remove(correlation));
    }

    /** Gives a view of this entry to another one. */
    void serve(PeerMessage.Hello sender, long correlation, String view) {
        Thread.startVirtualThread(
                () -> {
                    byte[] bytes =
                            own.apply(view).filter(b -> b.length <= MAX_BYTES).orElse(new byte[0]);
                    transport.offer(
                            sender.peerAddress(),
                            new PeerLink.Parcel(parts(correlation, bytes), sent -> {}));
                });
    }

    private static List<Frame> parts(long correlation, byte[] bytes) {
        List<Frame> frames = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(bytes.length, from + Frame.CHUNK_BYTES);
            byte[] part = Arrays.copyOfRange(bytes, from, to);
            frames.add(Frame.of(correlation, new PeerMessage.ViewPart(part, to == bytes.length)));
            from = to;
        } while (from < bytes.length);
        return frames;
    }

    /** Takes a part of a view, which arrives on one connection in order. */
    void receive(PeerMessage.Hello sender, long correlation, PeerMessage.ViewPart part) {
        Fetch fetch = fetches.get(correlation);
        if (fetch == null || !fetch.peerAddress().equals(sender.peerAddress())) {
            return;
        }
        if (fetch.bytes().size() + part.bytes().length > MAX_BYTES) {
            fetch.whole().completeExceptionally(new IOException("the view is too long"));
            return;
        }
        fetch.bytes().writeBytes(part.bytes());
        if (part.last() && fetch.bytes().size() == 0) {
            fetch.whole().completeExceptionally(new IOException("the view is not available"));
        } else if (part.last()) {
            fetch.whole().complete(fetch.bytes().toByteArray());
        }
    }
}
