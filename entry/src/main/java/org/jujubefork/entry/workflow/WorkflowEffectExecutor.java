package org.jujubefork.entry.workflow;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.entry.control.Clock;

/** Executes the effects of the reducer. Effects that block run on virtual threads. */
final class WorkflowEffectExecutor implements Consumer<WorkflowEffect> {
    private static final Logger log = Logger.getLogger(WorkflowEffectExecutor.class);

    /** Delay before a failed write is reported to the reducer, which then retries the write. */
    private static final Duration COMMIT_RETRY_DELAY = Duration.ofMillis(100);

    /** Time added to twice the expected duration of a call to the advice service. */
    private static final long ADVICE_TIMEOUT_MARGIN_MILLIS = 1_000;

    /** Time after another entry's call has timed out for its answer to arrive here. */
    private static final long ADVICE_REPLY_MARGIN_MILLIS = 200;

    /** The parts of the daemon that the executor uses. */
    record Context(
            String entry,
            HostPort address,
            Clock clock,
            Consumer<WorkflowEvent> events,
            ExecutorService executor,
            WorkflowStore store,
            WorkerApi workers,
            AdviceClient adviceClient,
            PendingCalls pendingCalls,
            PeerConnections peerConnections,
            LogEventWriter logWriter) {}

    private final Context context;
    private final Consumer<WorkflowEffect.LeaderChanged> leaderListener;
    private final Runnable workerListReader;

    /**
     * Creates an executor.
     *
     * @param leaderListener called when this entry follows a new leader or starts leading
     * @param workerListReader lets the watch of the worker list read it now; does not block
     */
    WorkflowEffectExecutor(
            Context context,
            Consumer<WorkflowEffect.LeaderChanged> leaderListener,
            Runnable workerListReader) {
        this.context = context;
        this.leaderListener = leaderListener;
        this.workerListReader = workerListReader;
    }

    @Override
    public void accept(WorkflowEffect effect) {
        switch (effect) {
            case WorkflowEffect.Answer e ->
                    context.pendingCalls().complete(e.requestId(), e.reply());
            case WorkflowEffect.LogEvent e -> context.logWriter().write(e);
            case WorkflowEffect.LeaderChanged e -> changeLeader(e);
            case WorkflowEffect.AnnounceSuccession e ->
                    context.peerConnections().announceSuccession(e.entries());
            case WorkflowEffect.ReadWorkerList e -> workerListReader.run();
            case WorkflowEffect.Resign e -> context.peerConnections().announceResignation();
            case WorkflowEffect.Claim e -> runAsync(() -> claimLeadership(e));
            case WorkflowEffect.Commit e -> runAsync(() -> commit(e));
            case WorkflowEffect.RenewLease e -> runAsync(() -> renewLease(e));
            case WorkflowEffect.Start e ->
                    runAsync(
                            () ->
                                    postCommandOutcome(
                                            e.command(),
                                            e.leaderFence(),
                                            resultOf(
                                                    () -> context.workers().start(e),
                                                    CommandOutcome.UNKNOWN)));
            case WorkflowEffect.Stop e ->
                    runAsync(
                            () ->
                                    postCommandOutcome(
                                            e.command(),
                                            e.leaderFence(),
                                            resultOf(
                                                    () -> context.workers().stop(e),
                                                    CommandOutcome.UNKNOWN)));
            case WorkflowEffect.RequestAdvice e -> requestAdvice(e);
        }
    }

    private void runAsync(Runnable task) {
        context.executor().execute(task);
    }

    private long now() {
        return context.clock().millis();
    }

    private void changeLeader(WorkflowEffect.LeaderChanged change) {
        if (change.thisEntryLeads()) {
            context.peerConnections().startLeading(change.leader());
        } else {
            context.peerConnections().startFollowing(change.leader());
        }
        leaderListener.accept(change);
    }

    /**
     * Returns the result of {@code call}, or {@code unknownResult} if it throws. The reducer waits
     * for the outcome of each effect, so an unexpected error must have one as well.
     */
    private static <T> T resultOf(Supplier<T> call, T unknownResult) {
        try {
            return call.get();
        } catch (RuntimeException e) {
            log.errorf(e, "event=effect-error outcome=%s", unknownResult);
            return unknownResult;
        }
    }

    private void claimLeadership(WorkflowEffect.Claim claim) {
        WorkflowEvent.ClaimResult result =
                resultOf(
                        () ->
                                context.store()
                                        .claimLeadership(
                                                claim,
                                                context.entry(),
                                                context.address().toString()),
                        new WorkflowEvent.ClaimResult.NotWon());
        context.events().accept(new WorkflowEvent.ClaimCompleted(now(), result));
    }

    private void commit(WorkflowEffect.Commit commit) {
        WorkflowEvent.CommitResult result =
                resultOf(
                        () -> context.store().commit(commit),
                        new WorkflowEvent.CommitResult.Retry());
        if (result instanceof WorkflowEvent.CommitResult.Retry) {
            try {
                Thread.sleep(COMMIT_RETRY_DELAY);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        context.events()
                .accept(
                        new WorkflowEvent.CommitCompleted(
                                now(), commit.leaderRevision(), commit.batch(), result));
    }

    private void renewLease(WorkflowEffect.RenewLease renewal) {
        long sentAt = now();
        WorkerApi.LeaseRenewalResult result =
                resultOf(
                        () -> context.workers().renewLease(renewal),
                        new WorkerApi.LeaseRenewalResult(CommandOutcome.UNKNOWN, Optional.empty()));
        String worker = renewal.worker().id();
        context.events()
                .accept(
                        result.report().isPresent()
                                ? new WorkflowEvent.LeaseRenewalAnswered(
                                        now(),
                                        renewal.leaderFence(),
                                        sentAt,
                                        worker,
                                        result.report().get())
                                : new WorkflowEvent.LeaseRenewalFailed(
                                        now(),
                                        renewal.leaderFence(),
                                        worker,
                                        renewal.worker().address(),
                                        result.outcome()));
    }

    private void postCommandOutcome(
            WorkflowEvent.WorkerCommand command, long fence, CommandOutcome outcome) {
        context.events().accept(new WorkflowEvent.CommandCompleted(now(), fence, command, outcome));
    }

    private void requestAdvice(WorkflowEffect.RequestAdvice request) {
        long timeoutMillis = 2 * request.costMillis() + ADVICE_TIMEOUT_MARGIN_MILLIS;
        if (request.advisor().equals(context.entry())) {
            runAsync(
                    () ->
                            postAdvice(
                                    request,
                                    resultOf(
                                            () ->
                                                    context.adviceClient()
                                                            .requestTickets(
                                                                    request.step(),
                                                                    request.workers(),
                                                                    Duration.ofMillis(
                                                                            timeoutMillis)),
                                            Optional.empty())));
            return;
        }
        boolean wasSent = context.peerConnections().requestAdvice(request, timeoutMillis);
        runAsync(
                () -> {
                    if (wasSent) {
                        awaitAdviceDeadline(timeoutMillis);
                    }
                    // The reducer ignores this event if the answer has already arrived.
                    postAdvice(request, Optional.empty());
                });
    }

    private static void awaitAdviceDeadline(long timeoutMillis) {
        try {
            Thread.sleep(timeoutMillis + ADVICE_REPLY_MARGIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void postAdvice(
            WorkflowEffect.RequestAdvice request, Optional<Map<String, String>> tickets) {
        context.events()
                .accept(
                        new WorkflowEvent.AdviceCompleted(
                                now(), request.fence(), request.number(), tickets));
    }
}
