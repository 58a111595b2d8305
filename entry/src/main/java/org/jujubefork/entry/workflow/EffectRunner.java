package org.jujubefork.entry.workflow;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.entry.control.Clock;

/** Carries out the effects of the reducer; what blocks runs on virtual threads. */
final class EffectRunner implements Consumer<WorkflowEffect> {
    /** Pause before a write is sent again. */
    private static final Duration COMMIT_RETRY = Duration.ofMillis(100);

    /** Time that a call to the advice service may take beyond what the service announces. */
    private static final long ADVICE_MARGIN_MILLIS = 1_000;

    /** Time for the way of the answer from another entry. */
    private static final long ADVICE_LINK_MILLIS = 200;

    /** What effects are carried out with. */
    record Tools(
            String entry,
            HostPort address,
            Clock clock,
            Consumer<WorkflowEvent> events,
            ExecutorService executor,
            WorkflowStore store,
            WorkerPort workers,
            Advisor advisor,
            Requests requests,
            Peers peers,
            NoteLog notes) {}

    private final Tools tools;
    private final Consumer<WorkflowEffect.LeaderChanged> onLeader;

    EffectRunner(Tools tools, Consumer<WorkflowEffect.LeaderChanged> onLeader) {
        this.tools = tools;
        this.onLeader = onLeader;
    }

    @Override
    public void accept(WorkflowEffect effect) {
        switch (effect) {
            case WorkflowEffect.Answer e -> tools.requests().answer(e.requestId(), e.reply());
            case WorkflowEffect.LogEvent e -> tools.notes().write(e);
            case WorkflowEffect.LeaderChanged e -> leaderChanged(e);
            case WorkflowEffect.Resign e -> tools.peers().resign();
            case WorkflowEffect.Claim e -> run(() -> claim(e));
            case WorkflowEffect.Commit e -> run(() -> commit(e));
            case WorkflowEffect.RenewLease e -> run(() -> hold(e));
            case WorkflowEffect.Start e ->
                    run(() -> ordered(e.command(), e.fence(), tools.workers().start(e)));
            case WorkflowEffect.Stop e ->
                    run(() -> ordered(e.command(), e.fence(), tools.workers().stop(e)));
            case WorkflowEffect.RequestAdvice e -> advise(e);
        }
    }

    private void run(Runnable task) {
        tools.executor().execute(task);
    }

    private long now() {
        return tools.clock().millis();
    }

    private void leaderChanged(WorkflowEffect.LeaderChanged change) {
        if (change.self()) {
            tools.peers().lead(change.leader());
        } else {
            tools.peers().follow(change.leader());
        }
        onLeader.accept(change);
    }

    private void claim(WorkflowEffect.Claim claim) {
        WorkflowEvent.ClaimResult result =
                tools.store().claim(claim, tools.entry(), tools.address().toString());
        tools.events().accept(new WorkflowEvent.ClaimCompleted(now(), result));
    }

    private void commit(WorkflowEffect.Commit commit) {
        WorkflowEvent.CommitResult result = tools.store().commit(commit);
        if (result instanceof WorkflowEvent.CommitResult.Retry) {
            try {
                Thread.sleep(COMMIT_RETRY);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        tools.events()
                .accept(
                        new WorkflowEvent.CommitCompleted(
                                now(), commit.leaderRevision(), commit.batch(), result));
    }

    private void hold(WorkflowEffect.RenewLease hold) {
        long sentAt = now();
        WorkerPort.HoldResult result = tools.workers().hold(hold);
        String worker = hold.worker().id();
        tools.events()
                .accept(
                        result.report().isPresent()
                                ? new WorkflowEvent.LeaseRenewalAnswered(
                                        now(), hold.fence(), sentAt, worker, result.report().get())
                                : new WorkflowEvent.LeaseRenewalFailed(
                                        now(), hold.fence(), worker, result.outcome()));
    }

    private void ordered(
            WorkflowEvent.WorkerCommand order, long fence, WorkflowEvent.CommandOutcome outcome) {
        tools.events().accept(new WorkflowEvent.CommandCompleted(now(), fence, order, outcome));
    }

    private void advise(WorkflowEffect.RequestAdvice advise) {
        long timeout = 2 * advise.costMillis() + ADVICE_MARGIN_MILLIS;
        if (advise.advisor().equals(tools.entry())) {
            run(
                    () ->
                            advised(
                                    advise,
                                    tools.advisor()
                                            .ask(
                                                    advise.step(),
                                                    advise.workers(),
                                                    Duration.ofMillis(timeout))));
            return;
        }
        boolean sent = tools.peers().ask(advise, timeout);
        run(
                () -> {
                    if (sent) {
                        awaitAdvice(timeout);
                    }
                    // Has no effect if the answer has come.
                    advised(advise, Optional.empty());
                });
    }

    private static void awaitAdvice(long timeout) {
        try {
            Thread.sleep(timeout + ADVICE_LINK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void advised(
            WorkflowEffect.RequestAdvice advise, Optional<Map<String, String>> tickets) {
        tools.events()
                .accept(
                        new WorkflowEvent.AdviceCompleted(
                                now(), advise.fence(), advise.step(), advise.advisor(), tickets));
    }
}
