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
 * Sees that a non-idempotent request runs at most once.
 *
 * <p>A claim in the store is written before the first start. Whoever finds a claim of another
 * request does not start anything. A claim is removed only when its request provably did not run.
 */
public final class Claims {
    /** Calls to the store for pending claims in one tick, so that they leave room for others. */
    static final int MAX_CALLS_PER_TICK = 20;

    private static final AttemptResult EARLIER_UNKNOWN =
            new AttemptResult(Outcome.UNKNOWN, RefusalReason.EARLIER_OUTCOME_UNKNOWN, 0, false);

    private Claims() {}

    /** Returns the store key of the claim for {@code idempotencyKey} of {@code team}. */
    public static String key(TeamId team, String idempotencyKey) {
        return "claims/" + team + "/" + idempotencyKey;
    }

    /** Reduces answers of the store about claims. */
    public static Transition reduce(State state, ClaimEvent event) {
        if (event instanceof ClaimEvent.ClaimSettled e) {
            return settled(state, e);
        }
        FrontRequest request = state.requests().active().get(event.request());
        if (request == null) {
            return Transition.of(state);
        }
        return switch (event) {
            case ClaimEvent.ClaimCreated e -> created(state, request);
            case ClaimEvent.ClaimExists e -> exists(state, request, e.existing());
            case ClaimEvent.ClaimGone e -> gone(state, request);
            case ClaimEvent.ClaimFailed e ->
                    request.phase() == RequestPhase.WAITING
                            ? Transition.of(waiting(state, request))
                            : failed(state, request, e.maybeWritten());
            case ClaimEvent.ClaimSettled e -> settled(state, e);
        };
    }

    /** Writes outcomes again that the store has not confirmed, and reads claims again. */
    static Transition tick(State state) {
        Transition result = Transition.of(state);
        int left = MAX_CALLS_PER_TICK;
        for (WorkQueue.Deadline due : state.requests().claims().writesDue()) {
            if (due.atMillis() > state.nowMillis() || left-- == 0) {
                break;
            }
            result = result.then(s -> writeAgain(s, due));
        }
        for (WorkQueue.Deadline due : state.requests().claims().readsDue()) {
            if (due.atMillis() > state.nowMillis() || left-- <= 0) {
                break;
            }
            result = result.then(s -> readAgain(s, due));
        }
        return result;
    }

    private static Transition writeAgain(State state, WorkQueue.Deadline due) {
        PendingClaims claims = state.requests().claims();
        State taken = withClaims(state, claims.withoutDueWrite(due));
        PendingClaims.Write write = claims.writes().get(due.request());
        return write == null
                ? Transition.of(taken)
                : Transition.of(taken).with(effect(due.request(), write.key(), write.outcome()));
    }

    private static Transition readAgain(State state, WorkQueue.Deadline due) {
        State taken = withClaims(state, state.requests().claims().withoutDueRead(due));
        FrontRequest request = state.requests().active().get(due.request());
        return request == null || request.phase() != RequestPhase.WAITING
                ? Transition.of(taken)
                : Transition.of(taken)
                        .with(
                                new StoreEffect.ReadClaim(
                                        request.id(), request.claimKey().orElseThrow()));
    }

    private static State withClaims(State state, PendingClaims claims) {
        return state.withRequests(state.requests().withClaims(claims));
    }

    /** Writes an outcome, or a release if it is empty, and remembers it until it is confirmed. */
    private static Transition write(
            State state, FrontRequest request, Optional<ClaimRecord> outcome) {
        String key = request.claimKey().orElseThrow();
        PendingClaims claims = state.requests().claims().writing(request.id(), key, outcome);
        return Transition.of(withClaims(state, claims)).with(effect(request.id(), key, outcome));
    }

    private static StoreEffect effect(
            RequestId request, String key, Optional<ClaimRecord> outcome) {
        return outcome.<StoreEffect>map(r -> new StoreEffect.SettleClaim(request, key, r))
                .orElseGet(() -> new StoreEffect.ReleaseClaim(request, key));
    }

    /** Writes the claim of a request that has just arrived. */
    static Transition create(State state, FrontRequest request) {
        return Transition.of(state)
                .with(
                        new StoreEffect.CreateClaim(
                                request.id(),
                                request.claimKey().orElseThrow(),
                                record(state, request.id(), ClaimState.CLAIMED)));
    }

    /** Records what became of a request, or releases its claim if it did not run. */
    static Transition finish(State state, FrontRequest request, AttemptResult result) {
        if (result.outcome() == Outcome.DONE) {
            FrontRequest settling = request.in(RequestPhase.SETTLING);
            return write(
                    state.withRequests(state.requests().with(settling)),
                    request,
                    Optional.of(record(state, request.id(), ClaimState.DONE)));
        }
        Transition refused = refuse(state, request, result);
        if (result.outcome() == Outcome.UNKNOWN) {
            Optional<ClaimRecord> unknown =
                    Optional.of(record(state, request.id(), ClaimState.UNKNOWN));
            return refused.then(s -> write(s, request, unknown));
        }
        return request.claimWritten()
                ? refused.then(s -> write(s, request, Optional.empty()))
                : refused;
    }

    /** Answers a request that waited for another one without touching the claim of that one. */
    static Transition stopWaiting(State state, FrontRequest request) {
        return refuse(
                state,
                request,
                new AttemptResult(
                        Outcome.UNKNOWN,
                        RefusalReason.IN_PROGRESS,
                        Requests.RETRY_AFTER_MILLIS,
                        false));
    }

    private static Transition refuse(State state, FrontRequest request, AttemptResult result) {
        State without = state.withRequests(state.requests().without(request));
        return Requests.refuse(without, request.id(), request.queue().id().value(), result);
    }

    private static Transition created(State state, FrontRequest request) {
        FrontRequest claimed = request.withClaim();
        State noted = state.withRequests(state.requests().with(claimed));
        return state.nowMillis() >= request.deadlineMillis()
                ? Requests.finish(
                        noted, claimed, AttemptResult.notRun(RefusalReason.DEADLINE_BEFORE_START))
                : Requests.dispatch(noted, claimed);
    }

    private static Transition exists(State state, FrontRequest request, ClaimRecord existing) {
        return switch (existing.state()) {
            case DONE ->
                    Transition.of(state.withRequests(state.requests().without(request)))
                            .with(
                                    new RequestEffect.ReplayAnswer(
                                            request.id(), request.claimKey().orElseThrow()));
            case UNKNOWN -> refuse(state, request, EARLIER_UNKNOWN);
            case CLAIMED ->
                    isKnownDead(state, existing.entry())
                            ? refuse(state, request, EARLIER_UNKNOWN)
                            : Transition.of(waiting(state, request));
        };
    }

    /** Returns {@code state} with {@code request} waiting for the end of the one that runs. */
    private static State waiting(State state, FrontRequest request) {
        State noted = state.withRequests(state.requests().with(request.in(RequestPhase.WAITING)));
        return withClaims(
                noted, noted.requests().claims().readLater(request.id(), state.nowMillis()));
    }

    /** Claims anew after the other request was released because it did not run. */
    private static Transition gone(State state, FrontRequest request) {
        if (request.phase() != RequestPhase.WAITING) {
            return Transition.of(state);
        }
        FrontRequest claiming = request.in(RequestPhase.CLAIMING);
        return create(state.withRequests(state.requests().with(claiming)), claiming);
    }

    /** Returns whether the run of the entry that wrote a claim has surely ended or is cut off. */
    private static boolean isKnownDead(State state, EntryId entry) {
        EntryId self = state.self().id();
        if (entry.name().equals(self.name())) {
            return entry.incarnation() < self.incarnation();
        }
        Member member = state.membership().members().get(entry.name());
        if (member == null) {
            // An entry that is alive is heard of within this time after a start.
            return state.nowMillis() - state.membership().startedAtMillis()
                    >= state.timing().deadAfterMillis();
        }
        return !Membership.isAlive(state, member)
                || member.row().id().incarnation() > entry.incarnation();
    }

    private static Transition failed(State state, FrontRequest request, boolean maybeWritten) {
        FrontRequest noted = maybeWritten ? request.withClaim() : request;
        return Requests.finish(
                state,
                noted,
                AttemptResult.notRun(RefusalReason.CLAIM_NOT_WRITTEN, Requests.RETRY_AFTER_MILLIS));
    }

    private static Transition settled(State state, ClaimEvent.ClaimSettled event) {
        PendingClaims claims = state.requests().claims();
        State noted =
                withClaims(
                        state,
                        event.durable()
                                ? claims.written(event.request())
                                : claims.notWritten(event.request(), state.nowMillis()));
        FrontRequest request = state.requests().active().get(event.request());
        return request == null || request.phase() != RequestPhase.SETTLING
                ? Transition.of(noted)
                : Transition.of(noted.withRequests(noted.requests().without(request)))
                        .with(new RequestEffect.ReleaseAnswer(request.id()));
    }

    private static ClaimRecord record(State state, RequestId request, ClaimState claim) {
        return new ClaimRecord(request, state.self().id(), claim);
    }
}
