package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.event.ClaimEvent;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.TeamId;

/**
 * Sees that a non-idempotent request runs at most once.
 *
 * <p>A claim in the store is written before the first start. Whoever finds a claim of another
 * request does not start anything. A claim is removed only when its request provably did not run.
 */
public final class Claims {
    private Claims() {}

    /** Returns the store key of the claim for {@code idempotencyKey} of {@code team}. */
    public static String key(TeamId team, String idempotencyKey) {
        return "claims/" + team + "/" + idempotencyKey;
    }

    /** Reduces answers of the store about claims. */
    public static Transition reduce(State state, ClaimEvent event) {
        FrontRequest request = state.requests().active().get(event.request());
        if (request == null) {
            return Transition.of(state);
        }
        return switch (event) {
            case ClaimEvent.ClaimCreated e -> created(state, request);
            case ClaimEvent.ClaimExists e -> exists(state, request, e.existing());
            case ClaimEvent.ClaimFailed e -> failed(state, request, e.maybeWritten());
            case ClaimEvent.ClaimSettled e -> settled(state, request);
        };
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
        String key = request.claimKey().orElseThrow();
        if (result.outcome() == Outcome.NOT_RUN) {
            State without = state.withRequests(state.requests().without(request));
            Transition refused =
                    Requests.refuse(without, request.id(), request.queue().id().value(), result);
            return request.claimWritten()
                    ? refused.with(new StoreEffect.ReleaseClaim(request.id(), key))
                    : refused;
        }
        ClaimState outcome =
                result.outcome() == Outcome.DONE ? ClaimState.DONE : ClaimState.UNKNOWN;
        StoreEffect.SettleClaim settle =
                new StoreEffect.SettleClaim(
                        request.id(), key, record(state, request.id(), outcome));
        if (result.outcome() == Outcome.UNKNOWN) {
            State without = state.withRequests(state.requests().without(request));
            return Requests.refuse(without, request.id(), request.queue().id().value(), result)
                    .with(settle);
        }
        FrontRequest settling = request.in(RequestPhase.SETTLING);
        return Transition.of(state.withRequests(state.requests().with(settling))).with(settle);
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
        State without = state.withRequests(state.requests().without(request));
        return switch (existing.state()) {
            case DONE ->
                    Transition.of(without)
                            .with(
                                    new RequestEffect.ReplayAnswer(
                                            request.id(), request.claimKey().orElseThrow()));
            case UNKNOWN ->
                    Requests.refuse(
                            without,
                            request.id(),
                            request.queue().id().value(),
                            new AttemptResult(
                                    Outcome.UNKNOWN,
                                    RefusalReason.EARLIER_OUTCOME_UNKNOWN,
                                    0,
                                    false));
            case CLAIMED ->
                    Requests.refuse(
                            without,
                            request.id(),
                            request.queue().id().value(),
                            new AttemptResult(
                                    Outcome.UNKNOWN,
                                    RefusalReason.IN_PROGRESS,
                                    Requests.RETRY_AFTER_MILLIS,
                                    false));
        };
    }

    private static Transition failed(State state, FrontRequest request, boolean maybeWritten) {
        FrontRequest noted = maybeWritten ? request.withClaim() : request;
        return Requests.finish(
                state,
                noted,
                AttemptResult.notRun(RefusalReason.CLAIM_NOT_WRITTEN, Requests.RETRY_AFTER_MILLIS));
    }

    private static Transition settled(State state, FrontRequest request) {
        return Transition.of(state.withRequests(state.requests().without(request)))
                .with(new RequestEffect.ReleaseAnswer(request.id()));
    }

    private static ClaimRecord record(State state, RequestId request, ClaimState claim) {
        return new ClaimRecord(request, state.self().id(), claim);
    }

    /** Returns the claim key of {@code request}, if it is active and has one. */
    static Optional<String> keyOf(State state, RequestId request) {
        return Optional.ofNullable(state.requests().active().get(request))
                .flatMap(FrontRequest::claimKey);
    }
}
