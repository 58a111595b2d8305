package org.jujubefork.entry.peer;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.RequestId;

/** The requests that other entries have forwarded to this entry. */
final class IncomingForwards {
    /** Chunks of an answer that may be under way to the entry that forwarded the request. */
    static final int WINDOW_CHUNKS = 4;

    /**
     * A request of another entry.
     *
     * @param id its id at this entry
     * @param sender the introduction of the connection on which it arrived
     * @param correlationId that entry's correlation id
     * @param message what is to run
     * @param receivedBody the part of the body that has arrived
     * @param window permits for chunks of the answer
     * @param answeredBytes length of the answer so far, in bytes
     * @param ended whether the answer is no longer wanted
     */
    record IncomingRequest(
            RequestId id,
            PeerMessage.Hello sender,
            long correlationId,
            PeerMessage.Forward message,
            ByteArrayOutputStream receivedBody,
            Semaphore window,
            AtomicLong answeredBytes,
            AtomicBoolean ended) {
        /** Returns the entry that forwarded it. */
        EntryId from() {
            return sender.from();
        }

        /** Returns that entry's address. */
        String peerAddress() {
            return sender.peerAddress();
        }

        /** Returns whether the whole body has arrived. */
        boolean isBodyComplete() {
            return receivedBody.size() >= message.bodyBytes();
        }

        /** Lets the producer of the answer have {@code chunks} more credits. */
        void addCredit(int chunks) {
            // The bound keeps a faulty sender from overflowing the permits.
            if (chunks > 0 && chunks <= WINDOW_CHUNKS) {
                window.release(chunks);
            }
        }

        /** Lets the producer of the answer fail instead of waiting for credit. */
        void end() {
            ended.set(true);
            window.release(WINDOW_CHUNKS);
        }
    }

    /**
     * Identifies an attempt of another entry.
     *
     * @param from the entry
     * @param correlationId its correlation id
     */
    private record AttemptKey(EntryId from, long correlationId) {}

    private final ConcurrentHashMap<AttemptKey, IncomingRequest> byKey = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, IncomingRequest> byId = new ConcurrentHashMap<>();

    /** Adds a request whose body is still to come. */
    IncomingRequest add(PeerMessage.Hello sender, long correlationId, PeerMessage.Forward message) {
        RequestId id = RequestId.of(message.requestId() + "." + correlationId);
        IncomingRequest incoming =
                new IncomingRequest(
                        id,
                        sender,
                        correlationId,
                        message,
                        new ByteArrayOutputStream(
                                Math.min(message.bodyBytes(), Frame.MAX_CHUNK_BYTES)),
                        new Semaphore(WINDOW_CHUNKS),
                        new AtomicLong(),
                        new AtomicBoolean());
        byKey.put(new AttemptKey(sender.from(), correlationId), incoming);
        byId.put(id, incoming);
        return incoming;
    }

    /** Returns the request that {@code from} calls {@code correlationId}. */
    Optional<IncomingRequest> find(EntryId from, long correlationId) {
        return Optional.ofNullable(byKey.get(new AttemptKey(from, correlationId)));
    }

    /** Returns the requests that arrived on the connection that {@code sender} introduced. */
    List<IncomingRequest> findByConnection(PeerMessage.Hello sender) {
        return byId.values().stream().filter(i -> i.sender() == sender).toList();
    }

    /**
     * Removes and returns the request {@code id}. A producer that waits for credit goes on and
     * fails, because no credit comes for a request that has ended.
     */
    Optional<IncomingRequest> remove(RequestId id) {
        IncomingRequest incoming = byId.remove(id);
        if (incoming != null) {
            byKey.remove(new AttemptKey(incoming.from(), incoming.correlationId()));
            incoming.end();
        }
        return Optional.ofNullable(incoming);
    }
}
