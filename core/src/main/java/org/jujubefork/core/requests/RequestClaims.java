package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.event.ClaimEvent;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.placement.WorkQueue;

/**
 * Ensures that a non-idempotent request runs at most once.
 *
 * <p>A claim is written to the store before the request is started for the first time. A request
 * that finds a claim of another request with the same idempotency key is not started. A claim is
 * removed only if its request provably did not run.
 */
public final class RequestClaims {
    /**
     * Maximum number of store calls for pending claims in one tick; leaves capacity for other
     * calls.
     */
    static final int MAX_STORE_CALLS_PER_TICK = 20;

    private static final AttemptResult EARLIER_OUTCOME_UNKNOWN =
            new AttemptResult(Outcome.UNKNOWN, RefusalReason.EARLIER_OUTCOME_UNKNOWN, 0, false);

    private RequestClaims() {}

    /** Returns the store key of the claim for {@code idempotencyKey} of {@code team}. */
    public static String key(TeamId team, String idempotencyKey) {
        return "claims/" + team + "/" + idempotencyKey;
    }

    /** Reduces a response of the store to a call about a claim. */
    public static Transition reduce(State state, ClaimEvent event) {
        if (event instanceof ClaimEvent.ClaimSettled e) {
            return claimSettled(state, e);
        }
        CallerRequest request = state.requests().active().get(event.request());
        if (request == null) {
            return Transition.of(state);
        }
        return switch (event) {
            case ClaimEvent.ClaimCreated e -> claimCreated(state, request);
            case ClaimEvent.ClaimExists e -> claimExists(state, request, e.existing());
            case ClaimEvent.ClaimGone e -> claimReleased(state, request);
            case ClaimEvent.ClaimFailed e ->
                    request.phase() == RequestPhase.WAITING
                            ? Transition.of(awaitOtherRequest(state, request))
                            : claimFailed(state, request, e.maybeWritten());
            case ClaimEvent.ClaimSettled e -> claimSettled(state, e);
        };
    }

    /** Retries unconfirmed writes of outcomes, and reads claims of other requests again, as due. */
    static Transition tick(State state) {
        Transition result = Transition.of(state);
        int remainingCalls = MAX_STORE_CALLS_PER_TICK;
        for (WorkQueue.Deadline due : state.requests().pendingClaims().writeDueTimes()) {
            if (due.atMillis() > state.nowMillis() || remainingCalls-- == 0) {
                break;
            }
            result = result.then(s -> rewriteOutcome(s, due));
        }
        for (WorkQueue.Deadline due : state.requests().pendingClaims().readDueTimes()) {
            if (due.atMillis() > state.nowMillis() || remainingCalls-- <= 0) {
                break;
            }
            result = result.then(s -> rereadClaim(s, due));
        }
        return result;
    }

    private static Transition rewriteOutcome(State state, WorkQueue.Deadline due) {
        PendingClaims claims = state.requests().pendingClaims();
        State updated = withPendingClaims(state, claims.withoutDueWrite(due));
        PendingClaims.Write write = claims.writes().get(due.request());
        return write == null
                ? Transition.of(updated)
                : Transition.of(updated)
                        .with(outcomeEffect(due.request(), write.key(), write.outcome()));
    }

    private static Transition rereadClaim(State state, WorkQueue.Deadline due) {
        State updated =
                withPendingClaims(state, state.requests().pendingClaims().withoutDueRead(due));
        CallerRequest request = state.requests().active().get(due.request());
        return request == null || request.phase() != RequestPhase.WAITING
                ? Transition.of(updated)
                : Transition.of(updated)
                        .with(
                                new StoreEffect.ReadClaim(
                                        request.id(), request.claimKey().orElseThrow()));
    }

    private static State withPendingClaims(State state, PendingClaims claims) {
        return state.withRequests(state.requests().withPendingClaims(claims));
    }

    /**
     * Writes {@code outcome} to the claim, or releases the claim if {@code outcome} is empty. The
     * write stays pending until the store has confirmed it.
     */
    private static Transition writeOutcome(
            State state, CallerRequest request, Optional<ClaimRecord> outcome) {
        String key = request.claimKey().orElseThrow();
        PendingClaims claims =
                state.requests().pendingClaims().withWrite(request.id(), key, outcome);
        return Transition.of(withPendingClaims(state, claims))
                .with(outcomeEffect(request.id(), key, outcome));
    }

    private static StoreEffect outcomeEffect(
            RequestId request, String key, Optional<ClaimRecord> outcome) {
        return outcome.<StoreEffect>map(r -> new StoreEffect.SettleClaim(request, key, r))
                .orElseGet(() -> new StoreEffect.ReleaseClaim(request, key));
    }

    /** Writes the claim of a request that has not been started. */
    static Transition writeClaim(State state, CallerRequest request) {
        return Transition.of(state)
                .with(
                        new StoreEffect.CreateClaim(
                                request.id(),
                                request.claimKey().orElseThrow(),
                                newRecord(state, request.id(), ClaimState.CLAIMED)));
    }

    /**
     * Writes the outcome of a request to its claim, or releases the claim if the request did not
     * run.
     */
    static Transition finish(State state, CallerRequest request, AttemptResult result) {
        if (result.outcome() == Outcome.DONE) {
            CallerRequest settling = request.withPhase(RequestPhase.SETTLING);
            return writeOutcome(
                    state.withRequests(state.requests().with(settling)),
                    request,
                    Optional.of(newRecord(state, request.id(), ClaimState.DONE)));
        }
        Transition refused = refuse(state, request, result);
        if (result.outcome() == Outcome.UNKNOWN) {
            Optional<ClaimRecord> unknown =
                    Optional.of(newRecord(state, request.id(), ClaimState.UNKNOWN));
            return refused.then(s -> writeOutcome(s, request, unknown));
        }
        return request.claimMaybeWritten()
                ? refused.then(s -> writeOutcome(s, request, Optional.empty()))
                : refused;
    }

    /**
     * Refuses a request that waits for another request; does not change the other request's claim.
     */
    static Transition stopWaiting(State state, CallerRequest request) {
        return refuse(
                state,
                request,
                new AttemptResult(
                        Outcome.UNKNOWN,
                        RefusalReason.IN_PROGRESS,
                        Requests.RETRY_AFTER_MILLIS,
                        false));
    }

    private static Transition refuse(State state, CallerRequest request, AttemptResult result) {
        State removed = state.withRequests(state.requests().without(request));
        return Requests.refuse(removed, request.id(), request.queue().id().value(), result);
    }

    private static Transition claimCreated(State state, CallerRequest request) {
        CallerRequest claimed = request.withClaimMaybeWritten();
        State updated = state.withRequests(state.requests().with(claimed));
        return state.nowMillis() >= request.deadlineMillis()
                ? Requests.finish(
                        updated, claimed, AttemptResult.notRun(RefusalReason.DEADLINE_BEFORE_START))
                : Requests.dispatch(updated, claimed);
    }

    private static Transition claimExists(
            State state, CallerRequest request, ClaimRecord existing) {
        return switch (existing.state()) {
            case DONE ->
                    Transition.of(state.withRequests(state.requests().without(request)))
                            .with(
                                    new RequestEffect.ReplayAnswer(
                                            request.id(), request.claimKey().orElseThrow()));
            case UNKNOWN -> refuse(state, request, EARLIER_OUTCOME_UNKNOWN);
            case CLAIMED ->
                    isKnownDead(state, existing.entry())
                            ? refuse(state, request, EARLIER_OUTCOME_UNKNOWN)
                            : Transition.of(awaitOtherRequest(state, request));
        };
    }

    /** Returns {@code state} with {@code request} waiting for the outcome of the other request. */
    private static State awaitOtherRequest(State state, CallerRequest request) {
        State updated =
                state.withRequests(state.requests().with(request.withPhase(RequestPhase.WAITING)));
        return withPendingClaims(
                updated,
                updated.requests().pendingClaims().withNextRead(request.id(), state.nowMillis()));
    }

    /**
     * Writes a claim for a waiting request after the other request's claim was released because
     * that request did not run.
     */
    private static Transition claimReleased(State state, CallerRequest request) {
        if (request.phase() != RequestPhase.WAITING) {
            return Transition.of(state);
        }
        CallerRequest claiming = request.withPhase(RequestPhase.CLAIMING);
        return writeClaim(state.withRequests(state.requests().with(claiming)), claiming);
    }

    /**
     * Returns whether the entry that wrote a claim is known to be dead: it has restarted since, or
     * it is not a live member.
     */
    private static boolean isKnownDead(State state, EntryId entry) {
        EntryId self = state.self().id();
        if (entry.name().equals(self.name())) {
            return entry.incarnation() < self.incarnation();
        }
        Member member = state.membership().members().get(entry.name());
        if (member == null) {
            // Gossip reports every live entry within this time after the start of this entry.
            return state.nowMillis() - state.membership().startedAtMillis()
                    >= state.timing().deadAfterMillis();
        }
        return !Membership.isAlive(state, member)
                || member.row().id().incarnation() > entry.incarnation();
    }

    private static Transition claimFailed(
            State state, CallerRequest request, boolean maybeWritten) {
        CallerRequest updated = maybeWritten ? request.withClaimMaybeWritten() : request;
        return Requests.finish(
                state,
                updated,
                AttemptResult.notRun(RefusalReason.CLAIM_NOT_WRITTEN, Requests.RETRY_AFTER_MILLIS));
    }

    private static Transition claimSettled(State state, ClaimEvent.ClaimSettled event) {
        PendingClaims claims = state.requests().pendingClaims();
        State updated =
                withPendingClaims(
                        state,
                        event.durable()
                                ? claims.withoutWrite(event.request())
                                : claims.withFailedWrite(event.request(), state.nowMillis()));
        CallerRequest request = state.requests().active().get(event.request());
        return request == null || request.phase() != RequestPhase.SETTLING
                ? Transition.of(updated)
                : Transition.of(updated.withRequests(updated.requests().without(request)))
                        .with(new RequestEffect.ReleaseAnswer(request.id()));
    }

    private static ClaimRecord newRecord(State state, RequestId request, ClaimState claimState) {
        return new ClaimRecord(request, state.self().id(), claimState);
    }
}
