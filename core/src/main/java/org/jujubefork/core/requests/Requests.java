package org.jujubefork.core.requests;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.DecisionKind;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.limits.Limits;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.Admission;
import org.jujubefork.core.placement.QueuedWork;
import org.jujubefork.core.placement.RequestOrigin;
import org.jujubefork.core.placement.ShardState;
import org.jujubefork.core.placement.WorkQueue;

/** Handles requests from callers and other entries, and ensures that each is answered once. */
public final class Requests {
    /**
     * Retry-after in answers to requests that were refused for a condition that should pass soon.
     */
    static final long RETRY_AFTER_MILLIS = 1_000;

    /** Time after its deadline for which a request still waits for the report of the owner. */
    static final long REPORT_GRACE_MILLIS = 500;

    private Requests() {}

    /** Reduces an event in the processing of a request. */
    public static Transition reduce(State state, RequestEvent event) {
        return switch (event) {
            case RequestEvent.RequestArrived e -> requestArrived(state, e);
            case RequestEvent.RequestForwarded e -> requestForwarded(state, e);
            case RequestEvent.ForwardAnswered e ->
                    isForwardedTo(state, e.request(), e.owner())
                            ? attemptEnded(state, e.request(), e.result())
                            : Transition.of(state);
            case RequestEvent.ForwardFailed e -> forwardFailed(state, e);
            case RequestEvent.RequestCancelled e -> requestCancelled(state, e.request());
        };
    }

    /** Answers requests whose deadline has passed, and runs the retries that are due. */
    public static Transition tick(State state) {
        Transition result = Transition.of(state);
        for (WorkQueue.Deadline deadline : state.requests().deadlines()) {
            if (deadline.atMillis() + REPORT_GRACE_MILLIS > state.nowMillis()) {
                break;
            }
            CallerRequest request = state.requests().active().get(deadline.request());
            result = result.then(s -> deadlinePassed(s, request));
        }
        return result.then(Requests::retryAtUnresponsiveOwners).then(RequestClaims::tick);
    }

    /**
     * Retries lookups that were forwarded to an entry which has become unresponsive. A paused entry
     * keeps its connections open, so nothing else would end these attempts before their deadline.
     */
    private static Transition retryAtUnresponsiveOwners(State state) {
        Set<EntryId> unresponsiveOwners = new HashSet<>();
        for (Member member : state.membership().members().values()) {
            if (!Membership.isResponsive(state, member)) {
                unresponsiveOwners.add(member.row().id());
            }
        }
        Transition result = Transition.of(state);
        if (unresponsiveOwners.isEmpty()) {
            return result;
        }
        for (CallerRequest request : state.requests().active().values()) {
            boolean isOwnerUnresponsive =
                    request.phase() == RequestPhase.FORWARDED
                            && request.isIdempotent()
                            && request.owner().map(unresponsiveOwners::contains).orElse(false);
            if (isOwnerUnresponsive) {
                AttemptResult lost = AttemptResult.unknown(RefusalReason.ENTRY_CONNECTION_LOST);
                result = result.then(s -> attemptEnded(s, request.id(), lost));
            }
        }
        return result;
    }

    private static Transition requestArrived(State state, RequestEvent.RequestArrived event) {
        RefusalReason reason = AccessControl.check(state, event);
        if (reason != RefusalReason.NONE) {
            return refuse(
                    state, event.request(), event.queue().value(), AccessControl.refusal(reason));
        }
        Queue queue = state.configuration().orElseThrow().queue(event.queue()).orElseThrow();
        Optional<String> claimKey =
                queue.kind() == WorkKind.COMMAND
                        ? event.idempotencyKey().map(k -> RequestClaims.key(queue.team(), k))
                        : Optional.empty();
        CallerRequest request =
                CallerRequest.arrived(
                        event.request(), queue, state.nowMillis(), claimKey, event.random());
        State accepted = state.withRequests(state.requests().withArrived(request));
        return claimKey.isPresent()
                ? RequestClaims.writeClaim(accepted, request)
                : dispatch(accepted, request);
    }

    /** Starts an attempt in one of the cheapest shards that have not been tried. */
    static Transition dispatch(State state, CallerRequest request) {
        Optional<Routing.Route> route = Routing.choose(state, request);
        if (route.isEmpty()) {
            return finish(state, request, AccessControl.refusal(RefusalReason.NO_SHARD));
        }
        boolean returnable = isReturnable(state, request, route.get());
        CallerRequest routed =
                request.routedTo(route.get().shard(), route.get().owner(), returnable);
        RequestTable charged = returnable ? state.requests().withRetrySpent() : state.requests();
        Transition result =
                Transition.of(state.withRequests(charged.with(routed)))
                        .with(routeDecision(routed, route.get()));
        return route.get().owner().isPresent()
                ? result.with(forward(state, routed, route.get()))
                : result.then(s -> enqueue(s, routed, RequestOrigin.local(routed.id())));
    }

    /**
     * Returns whether the owner of the shard may decline the request because the budget of the team
     * is used up there. Each shard may decline a request only once, so that no request is forwarded
     * in circles. The retry that would follow is charged in advance, so that it is within the retry
     * budget.
     */
    private static boolean isReturnable(State state, CallerRequest request, Routing.Route route) {
        return route.hasBudgetElsewhere()
                && !request.pastAttempts().decliningShards().contains(route.shard())
                && state.requests().retryBudget().allowsRetry()
                && Limits.isBinding(state, request.queue().team());
    }

    private static RequestEffect.Forward forward(
            State state, CallerRequest request, Routing.Route route) {
        Queue queue = request.queue();
        return new RequestEffect.Forward(
                request.id(),
                route.owner().orElseThrow(),
                route.peerAddress(),
                new ForwardedRequest(
                        route.shard(),
                        queue.id(),
                        queue.team(),
                        queue.kind(),
                        queue.size(),
                        queue.urgent(),
                        request.deadlineMillis() - state.nowMillis(),
                        request.returnable()));
    }

    private static LogDecision routeDecision(CallerRequest request, Routing.Route route) {
        return new LogDecision(
                DecisionKind.ROUTED,
                request.id().value(),
                Optional.of(request.queue().team()),
                route.shard().value(),
                route.owner().map(EntryId::toString).orElse("local"),
                route.alternatives(),
                0);
    }

    private static Transition enqueue(State state, CallerRequest request, RequestOrigin origin) {
        Queue queue = request.queue();
        return Admission.enqueue(
                state,
                request.shard().orElseThrow(),
                new QueuedWork.Request(
                        origin,
                        queue.team(),
                        queue.id(),
                        queue.kind(),
                        queue.size(),
                        queue.urgent(),
                        state.nowMillis(),
                        request.deadlineMillis(),
                        0,
                        request.returnable()));
    }

    private static Transition requestForwarded(State state, RequestEvent.RequestForwarded event) {
        ForwardedRequest forwarded = event.forwarded();
        RequestOrigin origin = RequestOrigin.forwarded(event.request(), event.from());
        if (!state.shards().containsKey(forwarded.shard()) || state.configuration().isEmpty()) {
            return AttemptReporter.report(
                    state, origin, AttemptResult.notRunHere(RefusalReason.NOT_OWNER));
        }
        return Admission.enqueue(
                state,
                forwarded.shard(),
                new QueuedWork.Request(
                        origin,
                        forwarded.team(),
                        forwarded.queue(),
                        forwarded.kind(),
                        forwarded.size(),
                        forwarded.urgent(),
                        state.nowMillis(),
                        state.nowMillis() + forwarded.remainingMillis(),
                        0,
                        forwarded.returnable()));
    }

    private static boolean isForwardedTo(State state, RequestId id, EntryId owner) {
        CallerRequest request = state.requests().active().get(id);
        return request != null && request.owner().equals(Optional.of(owner));
    }

    private static Transition forwardFailed(State state, RequestEvent.ForwardFailed event) {
        if (!isForwardedTo(state, event.request(), event.owner())) {
            return Transition.of(state);
        }
        AttemptResult result =
                event.maybeSent()
                        ? AttemptResult.unknown(RefusalReason.ENTRY_CONNECTION_LOST)
                        : AttemptResult.notRunHere(RefusalReason.ENTRY_UNREACHABLE);
        return attemptEnded(state, event.request(), result);
    }

    /** Answers or retries a request after an attempt ended. */
    public static Transition attemptEnded(State state, RequestId id, AttemptResult result) {
        CallerRequest request = state.requests().active().get(id);
        if (request == null || request.phase() == RequestPhase.SETTLING) {
            return Transition.of(state);
        }
        boolean wasDeclined = result.reason() == RefusalReason.BUDGET_USED_UP;
        CallerRequest updatedRequest = request.afterReturnableAttempt(wasDeclined);
        State refunded =
                state.withRequests(
                        state.requests().withRetryRefunded(request).with(updatedRequest));
        State updated = avoidFailedShard(refunded, updatedRequest, result);
        boolean isRepeatable = result.outcome() == Outcome.NOT_RUN || request.isIdempotent();
        // A single retry is enough to tell a bad worker from a request that fails on every worker.
        boolean hasFailedAgain =
                result.reason() == RefusalReason.TASK_FAILED && request.pastAttempts().mayHaveRun();
        boolean isRetryable =
                result.outcome() != Outcome.DONE
                        && result.retryElsewhere()
                        && isRepeatable
                        && !hasFailedAgain;
        boolean isInTime = state.nowMillis() < request.deadlineMillis();
        if (isRetryable && isInTime && updated.requests().retryBudget().allowsRetry()) {
            return retry(updated, updatedRequest, result);
        }
        return finish(updated, updatedRequest, result);
    }

    /**
     * Has routing avoid a shard temporarily if the attempt failed for a reason that concerns the
     * shard, or the budget of the team there.
     */
    private static State avoidFailedShard(
            State state, CallerRequest request, AttemptResult result) {
        long untilMillis = state.nowMillis() + Routing.AVOID_DURATION_MILLIS;
        if (result.reason() == RefusalReason.BUDGET_USED_UP && request.shard().isPresent()) {
            return state.withRequests(
                    state.requests()
                            .withBudgetUsedUp(
                                    request.queue().team(), request.shard().get(), untilMillis));
        }
        boolean isShardAtFault =
                switch (result.reason()) {
                    case NOT_OWNER,
                            OWNER_CHANGED,
                            ENTRY_UNREACHABLE,
                            ENTRY_CONNECTION_LOST,
                            DEADLINE_AFTER_START ->
                            true;
                    default -> false;
                };
        return isShardAtFault && request.shard().isPresent()
                ? state.withRequests(
                        state.requests().withAvoided(request.shard().get(), untilMillis))
                : state;
    }

    private static Transition retry(State state, CallerRequest request, AttemptResult result) {
        CallerRequest nextAttempt = request.afterAttempt(result.outcome());
        if (Routing.choose(state, nextAttempt).isEmpty()) {
            nextAttempt = nextAttempt.withoutTriedShards();
        }
        CallerRequest retried = nextAttempt;
        State spent = state.withRequests(state.requests().withRetrySpent().with(retried));
        return Transition.of(spent)
                .with(new RequestEffect.ResetAnswer(request.id()))
                .with(
                        new LogDecision(
                                DecisionKind.RETRIED,
                                request.id().value(),
                                Optional.of(request.queue().team()),
                                request.shard().map(ShardId::value).orElse(""),
                                result.reason().code(),
                                0,
                                state.nowMillis() - request.arrivedAtMillis()))
                .then(s -> dispatch(s, retried));
    }

    /**
     * Answers the caller. The answer of a non-idempotent request that ran is released only once its
     * outcome is written to the claim.
     */
    static Transition finish(State state, CallerRequest request, AttemptResult lastResult) {
        AttemptResult result = combinedResult(request, lastResult);
        if (request.claimKey().isPresent()) {
            return RequestClaims.finish(state, request, result);
        }
        State removed = state.withRequests(state.requests().without(request));
        return result.outcome() == Outcome.DONE
                ? Transition.of(removed).with(new RequestEffect.ReleaseAnswer(request.id()))
                : refuse(removed, request.id(), request.queue().id().value(), result);
    }

    /**
     * Returns the result over all attempts. A request that may have run in an earlier attempt has
     * an unknown outcome, even if the last attempt did not run.
     */
    private static AttemptResult combinedResult(CallerRequest request, AttemptResult lastResult) {
        return request.pastAttempts().mayHaveRun() && lastResult.outcome() == Outcome.NOT_RUN
                ? new AttemptResult(
                        Outcome.UNKNOWN, lastResult.reason(), lastResult.retryAfterMillis(), false)
                : lastResult;
    }

    /** Answers the caller that the request did not run, or that its outcome is unknown. */
    static Transition refuse(State state, RequestId request, String queue, AttemptResult result) {
        return Transition.of(state)
                .with(new RequestEffect.Refuse(request, result))
                .with(
                        new LogDecision(
                                DecisionKind.REFUSED,
                                request.value(),
                                Optional.empty(),
                                queue,
                                result.outcome() + "/" + result.reason().code(),
                                0,
                                0));
    }

    private static Transition deadlinePassed(State state, CallerRequest request) {
        return switch (request.phase()) {
            case CLAIMING, SETTLING -> Transition.of(state);
            case WAITING -> RequestClaims.stopWaiting(state, request);
            case LOCAL, FORWARDED -> {
                AttemptResult timeout = AttemptResult.unknown(RefusalReason.DEADLINE_AFTER_START);
                State updated =
                        request.phase() == RequestPhase.FORWARDED
                                ? avoidFailedShard(state, request, timeout)
                                : state;
                Transition finished = finish(updated, request, timeout);
                yield cancelForward(state, request).map(finished::with).orElse(finished);
            }
        };
    }

    private static Optional<RequestEffect> cancelForward(State state, CallerRequest request) {
        return request.owner()
                .flatMap(o -> state.membership().member(o))
                .map(m -> new RequestEffect.CancelForward(request.id(), m.row().peerAddress()));
    }

    private static Transition requestCancelled(State state, RequestId id) {
        for (ShardState shard : state.shards().values()) {
            Optional<QueuedWork.Request> waiting = shard.queue().request(id);
            if (waiting.isPresent()) {
                return AttemptReporter.report(
                        Admission.remove(state, shard.id(), waiting.get()),
                        waiting.get().origin(),
                        AttemptResult.notRun(RefusalReason.CANCELLED));
            }
        }
        CallerRequest request = state.requests().active().get(id);
        if (request == null) {
            return Transition.of(state);
        }
        if (request.phase() == RequestPhase.WAITING) {
            return RequestClaims.stopWaiting(state, request);
        }
        Transition result = Transition.of(state);
        return cancelForward(state, request).map(result::with).orElse(result);
    }

    /** Records the length of an answer, from which routing estimates the cost of distance. */
    public static State recordAnswerBytes(State state, QueueId queue, long bytes) {
        return state.withRequests(state.requests().withAnswerBytes(queue, bytes));
    }
}
