package org.jujubefork.entry.workflow;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.core.workflow.WorkflowEvent.Call;
import org.jujubefork.entry.control.Clock;

/**
 * Brings the calls of callers to the leader, wherever it is. Calls name their job, so that one
 * whose answer was lost is sent again to the same or the next leader.
 */
public final class CallGateway {
    /**
     * How long a call waits for a leader when there is none. A takeover takes less; a caller that
     * is refused sooner would come back later.
     */
    private static final long MAX_LEADER_WAIT_MILLIS = 1_800;

    /** Time between two looks for a leader in milliseconds. */
    private static final long RETRY_INTERVAL_MILLIS = 25;

    /** What became of a call. */
    public sealed interface Outcome {
        /**
         * The leader has answered.
         *
         * @param reply the answer
         */
        record Answered(Reply reply) implements Outcome {}

        /** No leader was reached; the call was not carried out and will not be. */
        record NotRun() implements Outcome {}

        /** The call was sent and not answered; it may have been carried out. */
        record Unknown() implements Outcome {}
    }

    private final PeerConnections peerConnections;
    private final PendingCalls pendingCalls;
    private final Clock clock;
    private final Consumer<WorkflowEvent> events;

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
     * Carries out {@code call}.
     *
     * @param timeoutMillis when the caller gives up
     */
    public Outcome call(Call call, long timeoutMillis) throws InterruptedException {
        long start = clock.millis();
        boolean sent = false;
        while (true) {
            long elapsedMillis = clock.millis() - start;
            if (elapsedMillis >= timeoutMillis
                    || (!sent && elapsedMillis >= MAX_LEADER_WAIT_MILLIS)) {
                return sent ? new Outcome.Unknown() : new Outcome.NotRun();
            }
            Optional<CompletableFuture<Reply>> answer = send(call);
            Optional<Reply> reply =
                    answer.isPresent()
                            ? await(answer.get(), timeoutMillis - elapsedMillis)
                            : Optional.empty();
            if (reply.isPresent() && !(reply.get() instanceof Reply.NotLeading)) {
                return new Outcome.Answered(reply.get());
            }
            sent |= answer.isPresent();
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        }
    }

    private Optional<CompletableFuture<Reply>> send(Call call) {
        if (!peerConnections.isLeading()) {
            return peerConnections.forward(call);
        }
        CompletableFuture<Reply> answer = new CompletableFuture<>();
        long id = pendingCalls.receivers(answer::complete);
        events.accept(new WorkflowEvent.CallArrived(clock.millis(), id, call));
        return Optional.of(answer);
    }

    private static Optional<Reply> await(CompletableFuture<Reply> answer, long timeoutMillis)
            throws InterruptedException {
        try {
            return Optional.of(answer.get(timeoutMillis, TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        }
    }
}
