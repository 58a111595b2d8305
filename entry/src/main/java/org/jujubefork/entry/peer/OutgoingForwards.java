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
     * @param correlation its correlation id
     * @param request the request
     * @param to the owner of the shard
     * @param peerAddress the owner's address
     * @param channel the channel to the caller
     */
    record Attempt(
            long correlation,
            RequestId request,
            EntryId to,
            String peerAddress,
            AnswerChannel channel) {}

    private final AtomicLong correlations = new AtomicLong();
    private final ConcurrentHashMap<Long, Attempt> attempts = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, Long> current = new ConcurrentHashMap<>();

    /** Starts an attempt, which replaces an earlier one of the same request. */
    Attempt start(RequestId request, EntryId to, String peerAddress, AnswerChannel channel) {
        Attempt attempt =
                new Attempt(correlations.incrementAndGet(), request, to, peerAddress, channel);
        // Both maps change under the lock of the request's entry, so that an earlier attempt cannot
        // end after the
        // later one is known.
        current.compute(
                request,
                (id, earlier) -> {
                    if (earlier != null) {
                        attempts.remove(earlier);
                    }
                    attempts.put(attempt.correlation(), attempt);
                    return attempt.correlation();
                });
        return attempt;
    }

    /** Returns the attempt with {@code correlation}, if it is the newest one of its request. */
    Optional<Attempt> attempt(long correlation) {
        return Optional.ofNullable(attempts.get(correlation));
    }

    /** Returns the newest attempt of {@code request}. */
    Optional<Attempt> of(RequestId request) {
        Long correlation = current.get(request);
        return correlation == null ? Optional.empty() : attempt(correlation);
    }

    /** Ends an attempt and returns it, unless it has ended or was replaced. */
    Optional<Attempt> end(long correlation) {
        Attempt attempt = attempts.get(correlation);
        if (attempt == null) {
            return Optional.empty();
        }
        AtomicBoolean ended = new AtomicBoolean();
        current.computeIfPresent(
                attempt.request(),
                (id, newest) -> {
                    ended.set(attempts.remove(correlation, attempt));
                    return newest == correlation ? null : newest;
                });
        return ended.get() ? Optional.of(attempt) : Optional.empty();
    }

    /** Ends and returns all attempts that went to {@code peerAddress}. */
    List<Attempt> endAll(String peerAddress) {
        List<Attempt> ended = new ArrayList<>();
        for (Attempt attempt : attempts.values()) {
            if (attempt.peerAddress().equals(peerAddress)) {
                end(attempt.correlation()).ifPresent(ended::add);
            }
        }
        return ended;
    }
}
