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
 * The requests that this entry has forwarded. Each attempt has a correlation id of its own, so that
 * what still arrives of an earlier attempt is not taken for the answer of a later one.
 */
final class OutgoingForwards {
    /**
     * One attempt.
     *
     * @param correlationId its correlation id
     * @param request the request
     * @param owner the owner of the shard
     * @param peerAddress the owner's address
     * @param channel the channel to the caller
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

    /** Starts an attempt, which replaces an earlier one of the same request. */
    Attempt start(RequestId request, EntryId owner, String peerAddress, AnswerChannel channel) {
        Attempt attempt =
                new Attempt(
                        lastCorrelationId.incrementAndGet(), request, owner, peerAddress, channel);
        // Both maps change under the lock of the request's entry, so that an earlier attempt cannot
        // end after the
        // later one is known.
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

    /** Returns the attempt with {@code correlationId}, if it is the newest one of its request. */
    Optional<Attempt> find(long correlationId) {
        return Optional.ofNullable(attemptsById.get(correlationId));
    }

    /** Returns the newest attempt of {@code request}. */
    Optional<Attempt> findNewest(RequestId request) {
        Long correlationId = newestIdByRequest.get(request);
        return correlationId == null ? Optional.empty() : find(correlationId);
    }

    /** Ends an attempt and returns it, unless it has ended or was replaced. */
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

    /** Ends and returns all attempts that went to {@code peerAddress}. */
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
