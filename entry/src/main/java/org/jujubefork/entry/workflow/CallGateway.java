package org.jujubefork.entry.workflow;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.core.workflow.WorkflowEvent.Call;
import org.jujubefork.entry.control.Clock;

/**
 * Routes calls to the current leader, which may be this entry or another one. Calls are idempotent
 * because they carry the identifier of their job, so if an answer is lost the call is sent again,
 * to the same leader or to its successor.
 */
public final class CallGateway implements AutoCloseable {
    /**
     * How long a call waits for a leader when there is none. A change of leader takes less time
     * than this, and a rejected call would be delayed further, because its caller retries only
     * after the retry-after time.
     */
    private static final long MAX_LEADER_WAIT_MILLIS = 1_800;

    /**
     * Part of a call's time limit that it may wait for a leader. A caller that is rejected before
     * half of its time has passed can still be served at another attempt.
     */
    private static final double MAX_LEADER_WAIT_FRACTION = 0.45;

    /** Interval between attempts to send the call to a leader. */
    private static final long RETRY_INTERVAL_MILLIS = 25;

    /** The outcome of a call. */
    public sealed interface Outcome {
        /**
         * The leader has answered.
         *
         * @param reply the leader's answer
         */
        record Answered(Reply reply) implements Outcome {}

        /** No leader has taken the call. It was not executed and will not be. */
        record NotRun() implements Outcome {}

        /** The call was sent, but no leader has told its outcome; it may have been executed. */
        record Unknown() implements Outcome {}
    }

    private final PeerConnections peerConnections;
    private final PendingCalls pendingCalls;
    private final Clock clock;
    private final Consumer<WorkflowEvent> events;
    private final Set<CompletableFuture<Reply>> awaitedReplies = ConcurrentHashMap.newKeySet();
    private volatile boolean open = true;

    CallGateway(
            PeerConnections peerConnections,
            PendingCalls pendingCalls,
            Clock clock,
            Consumer<WorkflowEvent> events) {
        this.peerConnections = peerConnections;
        this.pendingCalls = pendingCalls;
        this.clock = clock;
        this.events = events;
    }

    /**
     * Sends {@code call} to the leader and waits for the answer. Gives up sooner if there is no
     * leader or this gateway is closed.
     *
     * @param timeoutMillis how long to wait for the answer
     */
    public Outcome call(Call call, long timeoutMillis) throws InterruptedException {
        long startedAt = clock.millis();
        long leaderWaitMillis =
                Math.min(
                        MAX_LEADER_WAIT_MILLIS,
                        Math.round(MAX_LEADER_WAIT_FRACTION * timeoutMillis));
        long withoutLeaderSince = startedAt;
        boolean mayHaveRun = false;
        while (true) {
            long now = clock.millis();
            long elapsedMillis = now - startedAt;
            boolean isOver =
                    elapsedMillis >= timeoutMillis || now - withoutLeaderSince >= leaderWaitMillis;
            if (isOver || !open) {
                return mayHaveRun ? new Outcome.Unknown() : new Outcome.NotRun();
            }
            Optional<CompletableFuture<Reply>> pendingReply = send(call);
            Optional<Reply> reply =
                    pendingReply.isPresent()
                            ? await(pendingReply.get(), timeoutMillis - elapsedMillis)
                            : Optional.empty();
            boolean isRetried = reply.map(CallGateway::isRetried).orElse(true);
            if (!isRetried) {
                return new Outcome.Answered(reply.get());
            }
            boolean wasDenied = reply.map(r -> r instanceof Reply.NotLeading).orElse(false);
            if (pendingReply.isPresent() && !wasDenied) {
                mayHaveRun = true;
                withoutLeaderSince = clock.millis();
            }
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        }
    }

    /** Returns whether another leader may give an answer that says more than {@code reply}. */
    private static boolean isRetried(Reply reply) {
        return reply instanceof Reply.NotLeading || reply instanceof Reply.OutcomeUnknown;
    }

    private Optional<CompletableFuture<Reply>> send(Call call) {
        if (!peerConnections.isLeading()) {
            return peerConnections.forward(call);
        }
        CompletableFuture<Reply> pendingReply = new CompletableFuture<>();
        long id = pendingCalls.add(pendingReply::complete);
        events.accept(new WorkflowEvent.CallArrived(clock.millis(), id, call));
        return Optional.of(pendingReply);
    }

    /**
     * Ends all calls, and each later one, with what is known of their outcome. Called before the
     * process ends, so that no caller loses its connection without an answer.
     */
    @Override
    public void close() {
        open = false;
        awaitedReplies.forEach(r -> r.cancel(false));
    }

    private Optional<Reply> await(CompletableFuture<Reply> pendingReply, long timeoutMillis)
            throws InterruptedException {
        awaitedReplies.add(pendingReply);
        try {
            return open
                    ? Optional.of(pendingReply.get(timeoutMillis, TimeUnit.MILLISECONDS))
                    : Optional.empty();
        } catch (CancellationException | ExecutionException | TimeoutException e) {
            return Optional.empty();
        } finally {
            awaitedReplies.remove(pendingReply);
        }
    }
}
