package org.jujubefork.entry.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.entry.answers.AnswerChannel;

/**
 * Requests that this entry has forwarded to shard owners. Each attempt has its own correlation id,
 * so that late messages of an earlier attempt are not attributed to a later one.
 */
final class OutgoingForwards {
    /**
     * One attempt to have a shard owner run a request.
     *
     * @param correlationId unique among the attempts of this entry
     * @param request the id of the forwarded request
     * @param owner the owner of the shard
     * @param peerAddress the owner's address
     * @param channel passes the answer on to the caller
     */
    record Attempt(
            long correlationId,
            RequestId request,
            EntryId owner,
            String peerAddress,
            AnswerChannel channel) {}

    private final AtomicLong lastCorrelationId = new AtomicLong();
    private final ConcurrentHashMap<Long, Attempt> attemptsById = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, Long> newestIdByRequest = new ConcurrentHashMap<>();

    /** Starts an attempt, which replaces any earlier attempt for the same request. */
    Attempt start(RequestId request, EntryId owner, String peerAddress, AnswerChannel channel) {
        Attempt attempt =
                new Attempt(
                        lastCorrelationId.incrementAndGet(), request, owner, peerAddress, channel);
        // Both maps are updated under the lock of the request's map entry, so that an earlier
        // attempt cannot end once the later one is visible.
        newestIdByRequest.compute(
                request,
                (id, earlierId) -> {
                    if (earlierId != null) {
                        attemptsById.remove(earlierId);
                    }
                    attemptsById.put(attempt.correlationId(), attempt);
                    return attempt.correlationId();
                });
        return attempt;
    }

    /** Returns the attempt with this id; empty if it has ended or been replaced. */
    Optional<Attempt> find(long correlationId) {
        return Optional.ofNullable(attemptsById.get(correlationId));
    }

    /** Returns the newest attempt for {@code request}; empty if it has ended. */
    Optional<Attempt> findNewest(RequestId request) {
        Long correlationId = newestIdByRequest.get(request);
        return correlationId == null ? Optional.empty() : find(correlationId);
    }

    /** Ends an attempt and returns it; empty if it had already ended or been replaced. */
    Optional<Attempt> end(long correlationId) {
        Attempt attempt = attemptsById.get(correlationId);
        if (attempt == null) {
            return Optional.empty();
        }
        AtomicBoolean ended = new AtomicBoolean();
        newestIdByRequest.computeIfPresent(
                attempt.request(),
                (id, newestId) -> {
                    ended.set(attemptsById.remove(correlationId, attempt));
                    return newestId == correlationId ? null : newestId;
                });
        return ended.get() ? Optional.of(attempt) : Optional.empty();
    }

    /** Ends and returns all attempts that were sent to {@code peerAddress}. */
    List<Attempt> endAllTo(String peerAddress) {
        List<Attempt> ended = new ArrayList<>();
        for (Attempt attempt : attemptsById.values()) {
            if (attempt.peerAddress().equals(peerAddress)) {
                end(attempt.correlationId()).ifPresent(ended::add);
            }
        }
        return ended;
    }
}
