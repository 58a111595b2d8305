package org.jujubefork.entry.peer;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
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
     * @param from the entry that forwarded it
     * @param peerAddress that entry's address
     * @param correlation that entry's correlation id
     * @param message what is to run
     * @param body the part of the body that has arrived
     * @param window permits for chunks of the answer
     * @param answered length of the answer so far, in bytes
     */
    record Incoming(
            RequestId id,
            EntryId from,
            String peerAddress,
            long correlation,
            PeerMessage.Forward message,
            ByteArrayOutputStream body,
            Semaphore window,
            AtomicLong answered) {}

    /**
     * Identifies an attempt of another entry.
     *
     * @param from the entry
     * @param correlation its correlation id
     */
    private record Key(EntryId from, long correlation) {}

    private final ConcurrentHashMap<Key, Incoming> byKey = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, Incoming> byId = new ConcurrentHashMap<>();

    /** Adds a request whose body is still to come. */
    Incoming add(PeerMessage.Hello sender, long correlation, PeerMessage.Forward message) {
        RequestId id = RequestId.of(message.request() + "." + correlation);
        Incoming incoming =
                new Incoming(
                        id,
                        sender.from(),
                        sender.peerAddress(),
                        correlation,
                        message,
                        new ByteArrayOutputStream(Math.min(message.bodyBytes(), Frame.CHUNK_BYTES)),
                        new Semaphore(WINDOW_CHUNKS),
                        new AtomicLong());
        byKey.put(new Key(sender.from(), correlation), incoming);
        byId.put(id, incoming);
        return incoming;
    }

    /** Returns the request that {@code from} calls {@code correlation}. */
    Optional<Incoming> of(EntryId from, long correlation) {
        return Optional.ofNullable(byKey.get(new Key(from, correlation)));
    }

    /** Removes and returns the request {@code id}. */
    Optional<Incoming> remove(RequestId id) {
        Incoming incoming = byId.remove(id);
        if (incoming != null) {
            byKey.remove(new Key(incoming.from(), incoming.correlation()));
        }
        return Optional.ofNullable(incoming);
    }
}
