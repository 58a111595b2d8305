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

/** Requests that other entries have forwarded to this entry and that are not answered yet. */
final class IncomingForwards {
    /** Maximum number of answer chunks in flight to the entry that forwarded the request. */
    static final int WINDOW_CHUNKS = 4;

    /**
     * A request that another entry has forwarded.
     *
     * @param id its id at this entry
     * @param sender the HELLO of the connection on which it arrived; compared by identity
     * @param correlationId the correlation id chosen by the forwarding entry
     * @param message the request, without its body
     * @param receivedBody the part of the body that has arrived
     * @param window one permit for each answer chunk that may be sent now
     * @param answeredBytes length of the answer sent so far, in bytes
     * @param ended whether the request has been answered or cancelled
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
        /** Returns the entry that forwarded the request. */
        EntryId from() {
            return sender.from();
        }

        /** Returns the address to which the answer is sent. */
        String peerAddress() {
            return sender.peerAddress();
        }

        /** Returns whether the whole body has arrived. */
        boolean isBodyComplete() {
            return receivedBody.size() >= message.bodyBytes();
        }

        /** Permits {@code chunks} more chunks; ignores a number that is not in 1..WINDOW_CHUNKS. */
        void addCredit(int chunks) {
            // Without the bound, a faulty sender could overflow the number of permits.
            if (chunks > 0 && chunks <= WINDOW_CHUNKS) {
                window.release(chunks);
            }
        }

        /** Makes the producer of the answer fail instead of waiting for credit. */
        void end() {
            ended.set(true);
            window.release(WINDOW_CHUNKS);
        }
    }

    /**
     * Identifies an attempt; correlation ids are unique only within the entry that chose them.
     *
     * @param from the entry that forwarded the request
     * @param correlationId the correlation id chosen by the forwarding entry
     */
    private record AttemptKey(EntryId from, long correlationId) {}

    private final ConcurrentHashMap<AttemptKey, IncomingRequest> byKey = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, IncomingRequest> byId = new ConcurrentHashMap<>();

    /** Adds a request whose body has not been received yet. */
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

    /** Returns the request that {@code from} forwarded under {@code correlationId}. */
    Optional<IncomingRequest> find(EntryId from, long correlationId) {
        return Optional.ofNullable(byKey.get(new AttemptKey(from, correlationId)));
    }

    /** Returns the requests that arrived on the connection on which {@code sender} was received. */
    List<IncomingRequest> findByConnection(PeerMessage.Hello sender) {
        return byId.values().stream().filter(request -> request.sender() == sender).toList();
    }

    /**
     * Removes and returns the request {@code id}. Makes a producer that waits for credit fail,
     * because a removed request receives no more credit.
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
