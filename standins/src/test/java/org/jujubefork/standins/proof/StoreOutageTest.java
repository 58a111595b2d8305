package org.jujubefork.standins.proof;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.JobRequest;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.cell.CallRecord;
import org.jujubefork.standins.cell.Caller;
import org.jujubefork.standins.cell.LoadGenerator;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.history.EventType;
import org.testng.annotations.Test;

/**
 * D3. Guards against a store outage of 20 s that stops lookups, lets through work that the store
 * must record, or leaves a part of the cell behind afterwards.
 */
public final class StoreOutageTest {
    private static final int PER_SECOND = 40;
    private static final long OUTAGE_MILLIS = 20_000;

    /** Time in which calls that the outage meets in flight may still count for before it. */
    private static final long SETTLE_MILLIS = 3_000;

    private static Optional<Outcome> submit(TestCell cell) throws Exception {
        try (ApiClient client = cell.client(0, Optional.of(SmallCell.key("red")))) {
            client.submit(
                    new JobRequest(
                            "red-batch",
                            "proof",
                            2,
                            Optional.empty(),
                            "{\"runMillis\":50}",
                            Optional.empty()));
            return Optional.empty();
        } catch (ApiException e) {
            return Optional.of(org.jujubefork.client.api.OutcomeNames.parse(e.error().outcome()));
        }
    }

    /** Returns the zones of the workers that have an event of {@code type}. */
    private static Set<String> zones(TestCell cell, EventType type) throws Exception {
        return cell.fleetHistory().stream()
                .filter(e -> e.type() == type)
                .map(e -> e.text("worker").split("-")[0])
                .collect(Collectors.toSet());
    }

    @Test
    public void lookupsGoOnAndRecordedWorkIsRefused() throws Exception {
        long seed = Judgement.seed("StoreOutageTest", 801);
        try (TestCell cell = TestCell.start(SmallCell.of(3).plan());
                LoadGenerator load =
                        LoadGenerator.start(
                                cell,
                                Caller.withoutRetries(Duration.ofSeconds(15)),
                                PER_SECOND,
                                seed,
                                TakeoverTest::mixed)) {
            // An owner writes its budgets once; before that it starts nothing for a team with a
            // limit.
            Await.until(
                    "each zone runs work",
                    () -> zones(cell, EventType.START).equals(zones(cell, EventType.WORKER)));
            cell.controlStore("outage?on=true");
            long began = System.nanoTime() + SETTLE_MILLIS * 1_000_000;
            Thread.sleep(SETTLE_MILLIS + 1_000);
            assertEquals(submit(cell), Optional.of(Outcome.NOT_RUN), "a job in the outage");
            Thread.sleep(OUTAGE_MILLIS - SETTLE_MILLIS - 1_000);
            long ended = System.nanoTime();
            cell.controlStore("outage?on=false");
            Thread.sleep(5_000);
            assertEquals(submit(cell), Optional.empty(), "a job after the outage");
            long after = System.nanoTime();
            Thread.sleep(2_000);
            List<CallRecord> calls = load.stop();
            List<CallRecord> during = between(calls, began, ended);
            List<CallRecord> later = between(calls, after, Long.MAX_VALUE);
            Judgement.seen("StoreOutageTest", "during " + Judgement.summary(during));
            Judgement.seen("StoreOutageTest", "later " + Judgement.summary(later));
            Judgement.safe(cell.fleetHistory(), calls);
            Judgement.none(
                    during.stream()
                            .filter(c -> !c.command() && c.outcome() != Outcome.DONE)
                            .toList());
            Judgement.none(
                    during.stream()
                            .filter(c -> c.command() && c.outcome() != Outcome.NOT_RUN)
                            .toList());
            Judgement.none(later.stream().filter(c -> c.outcome() != Outcome.DONE).toList());
            assertTrue(!during.isEmpty() && !later.isEmpty(), "no calls");
        }
    }

    private static List<CallRecord> between(List<CallRecord> calls, long from, long to) {
        return calls.stream()
                .filter(c -> c.startedNanos() >= from && c.endedNanos() <= to)
                .toList();
    }
}
