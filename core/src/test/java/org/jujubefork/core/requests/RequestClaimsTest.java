package org.jujubefork.core.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.SingleEntryCell;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.event.ClaimEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.WorkKind;
import org.testng.annotations.Test;

/**
 * Tests non-idempotent requests that their callers repeat, and claims that the store did not
 * confirm.
 */
public class RequestClaimsTest {
    private static final RequestId RETRY = RequestId.of("retry");

    private static SingleEntryCell withRetry() {
        SingleEntryCell cell = SingleEntryCell.of(1, 1, Tuning.DEFAULT);
        cell.submitRequest(
                RETRY.value(), SingleEntryCell.queue(WorkKind.COMMAND, 0), Optional.of("key"));
        return cell;
    }

    private static void deliverExistingClaim(
            SingleEntryCell cell, ClaimState claimState, EntryId owner) {
        cell.apply(
                new ClaimEvent.ClaimExists(
                        cell.state.nowMillis(),
                        RETRY,
                        new ClaimRecord(RequestId.of("first"), owner, claimState)));
    }

    /** Guards against a retry that is refused although the first request is about to complete. */
    @Test
    public void retryWaitsForTheOutcomeOfTheFirstRequest() {
        SingleEntryCell cell = withRetry();
        EntryId self = cell.state.self().id();
        deliverExistingClaim(cell, ClaimState.CLAIMED, self);
        assertTrue(cell.effects(RequestEffect.Refuse.class).isEmpty());
        cell.runFor(200);
        assertEquals(cell.effects(StoreEffect.ReadClaim.class).size(), 1);
        deliverExistingClaim(cell, ClaimState.DONE, self);
        assertEquals(cell.effects(RequestEffect.ReplayAnswer.class).size(), 1);
        assertTrue(cell.state.requests().active().isEmpty());
    }

    /** Guards against a retry that waits forever, or reads the store without bound. */
    @Test
    public void waitEndsAtTheDeadlineWithBoundedReads() {
        SingleEntryCell cell = withRetry();
        deliverExistingClaim(cell, ClaimState.CLAIMED, cell.state.self().id());
        for (int i = 0; i < 120; i++) {
            int readCountBefore = cell.effects(StoreEffect.ReadClaim.class).size();
            cell.runFor(100);
            if (cell.effects(StoreEffect.ReadClaim.class).size() > readCountBefore) {
                deliverExistingClaim(cell, ClaimState.CLAIMED, cell.state.self().id());
            }
        }
        var refusals = cell.effects(RequestEffect.Refuse.class);
        assertEquals(refusals.size(), 1);
        assertEquals(refusals.get(0).result().reason(), RefusalReason.IN_PROGRESS);
        assertEquals(refusals.get(0).result().outcome(), Outcome.UNKNOWN);
        assertTrue(cell.effects(StoreEffect.ReadClaim.class).size() <= PendingClaims.MAX_READS);
        assertTrue(cell.effects(StoreEffect.SettleClaim.class).isEmpty(), "not its claim");
        assertTrue(cell.effects(StoreEffect.ReleaseClaim.class).isEmpty(), "not its claim");
    }

    /** Guards against a retry that waits for the outcome of a request at a dead entry. */
    @Test
    public void claimOfADeadEntryHasUnknownOutcome() {
        SingleEntryCell cell = withRetry();
        deliverExistingClaim(cell, ClaimState.CLAIMED, new EntryId("entry-a", 1));
        var refusals = cell.effects(RequestEffect.Refuse.class);
        assertEquals(refusals.size(), 1);
        assertEquals(refusals.get(0).result().reason(), RefusalReason.EARLIER_OUTCOME_UNKNOWN);
    }

    /** Guards against a retry that is refused although the first request did not run. */
    @Test
    public void retryCreatesANewClaimIfTheFirstRequestDidNotRun() {
        SingleEntryCell cell = withRetry();
        deliverExistingClaim(cell, ClaimState.CLAIMED, cell.state.self().id());
        cell.effects.clear();
        cell.apply(new ClaimEvent.ClaimGone(cell.state.nowMillis(), RETRY));
        assertEquals(cell.effects(StoreEffect.CreateClaim.class).size(), 1);
    }

    /**
     * Guards against outcomes that are lost in a store outage of an hour, and against a burst of
     * writes when the store is available again.
     */
    @Test
    public void outcomesSurviveAnOutageAndTheirWritesAreSpread() {
        SingleEntryCell cell = SingleEntryCell.of(30, 1, Tuning.DEFAULT);
        int requestCount = 100;
        for (int i = 0; i < requestCount; i++) {
            RequestId id = RequestId.of("r" + i);
            cell.submitRequest(
                    id.value(), SingleEntryCell.queue(WorkKind.COMMAND, 0), Optional.of("k" + i));
            cell.apply(new ClaimEvent.ClaimCreated(cell.state.nowMillis(), id, 1));
        }
        for (var task : cell.placedTasks(WorkKind.COMMAND, 0)) {
            cell.apply(
                    new TaskEvent.RequestFinished(
                            cell.state.nowMillis(), task.worker(), task.spec().id(), true, 1));
        }
        assertEquals(cell.effects(StoreEffect.SettleClaim.class).size(), requestCount);
        long outageEndMillis = cell.state.nowMillis() + 3_600_000;
        int writeCount = 0;
        while (cell.state.nowMillis() < outageEndMillis) {
            writeCount += answerSettleCalls(cell, false);
            cell.advance(500);
        }
        assertEquals(cell.effects(RequestEffect.ReleaseAnswer.class).size(), 0);
        assertTrue(writeCount < requestCount * 130, "writes during the outage: " + writeCount);
        Map<Long, Integer> writesPerSecond = new HashMap<>();
        for (int i = 0; i < 140; i++) {
            writesPerSecond.merge(
                    cell.state.nowMillis() / 1_000, answerSettleCalls(cell, true), Integer::sum);
            cell.advance(500);
        }
        assertTrue(
                cell.state.requests().pendingClaims().writes().isEmpty(), "not all were written");
        int maxWritesPerSecond =
                writesPerSecond.values().stream().max(Integer::compare).orElseThrow();
        assertTrue(maxWritesPerSecond <= 20, "writes in one second: " + maxWritesPerSecond);
    }

    private static int answerSettleCalls(SingleEntryCell cell, boolean durable) {
        var calls = cell.effects(StoreEffect.SettleClaim.class);
        cell.effects.clear();
        for (var call : calls) {
            cell.apply(
                    new ClaimEvent.ClaimSettled(cell.state.nowMillis(), call.request(), durable));
        }
        cell.effects.clear();
        return calls.size();
    }
}
