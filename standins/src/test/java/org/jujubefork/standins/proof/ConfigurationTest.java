package org.jujubefork.standins.proof;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.ApplyResult;
import org.jujubefork.client.api.ConfigApply;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.NotReachableException;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.cell.EntryVm;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.testng.annotations.Test;

/**
 * P10. Guards against a configuration that comes into force late, goes back to an older version, or
 * is overwritten by an operator who did not know of it.
 */
public final class ConfigurationTest {
    private static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int ROUNDS = 5;

    private static Optional<String> operator() {
        return Optional.of(SmallCell.OPERATOR_KEY);
    }

    /** Returns the version in force on an entry, 0 if it has none or does not answer. */
    private static long version(TestCell cell, EntryVm entry) throws Exception {
        if (!entry.process().isAlive()) {
            return 0;
        }
        try (ApiClient client = cell.clientFor(entry, operator())) {
            return client.configuration().version();
        } catch (ApiException | NotReachableException e) {
            return 0;
        }
    }

    private static long apply(TestCell cell, long ifVersion, double weight) throws Exception {
        ApplyResult result =
                cell.apply(
                        ifVersion,
                        ConfigurationTexts.withWeight(cell.plan().configuration(), "red", weight));
        assertEquals(result.status(), ApplyResult.Status.ACCEPTED);
        return result.version();
    }

    private static void awaitVersion(TestCell cell, long version, long accepted) throws Exception {
        for (EntryVm entry : cell.entries()) {
            Await.until(
                    "version " + version + " on " + entry.name(),
                    () -> version(cell, entry) >= version);
        }
        long nanos = System.nanoTime() - accepted;
        Judgement.seen("ConfigurationTest", "inForceMillis=" + nanos / 1_000_000);
        assertTrue(nanos <= BOUND_NANOS, "in force after " + nanos + " ns");
    }

    /** Polls all entries; each list holds the versions of one entry in order. */
    private static List<List<Long>> watch(TestCell cell, Callable<Void> steps) throws Exception {
        List<List<Long>> seen = new ArrayList<>();
        cell.entries().forEach(e -> seen.add(new ArrayList<>()));
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<Void> done = executor.submit(steps);
            while (!done.isDone()) {
                for (int i = 0; i < seen.size(); i++) {
                    long version = version(cell, cell.entry(i));
                    if (version > 0) {
                        seen.get(i).add(version);
                    }
                }
                Thread.sleep(50);
            }
            done.get();
        }
        return seen;
    }

    private static boolean goesBack(List<Long> versions) {
        for (int i = 1; i < versions.size(); i++) {
            if (versions.get(i) < versions.get(i - 1)) {
                return true;
            }
        }
        return false;
    }

    @Test
    public void versionNeverGoesBack() throws Exception {
        try (TestCell cell = TestCell.start(SmallCell.of(3).plan())) {
            List<List<Long>> seen =
                    watch(
                            cell,
                            () -> {
                                long version = apply(cell, 1, 2);
                                awaitVersion(cell, version, System.nanoTime());
                                cell.controlStore("outage?on=true");
                                EntryVm replaced = cell.entry(1);
                                replaced.kill();
                                Thread.sleep(1_000);
                                replaced.start();
                                replaced.awaitReady();
                                Await.until(
                                        "configuration without the store",
                                        () -> version(cell, replaced) == version);
                                cell.controlStore("outage?on=false");
                                Thread.sleep(1_500);
                                long next = apply(cell, version, 3);
                                awaitVersion(cell, next, System.nanoTime());
                                return null;
                            });
            for (List<Long> versions : seen) {
                assertFalse(goesBack(versions), "versions " + versions);
            }
        }
    }

    private static Optional<ApiException> race(TestCell cell, int entry, long version, int weight)
            throws Exception {
        try (ApiClient client = cell.clientFor(cell.entry(entry), operator())) {
            client.apply(
                    new ConfigApply(
                            version,
                            ConfigurationTexts.withWeight(
                                    cell.plan().configuration(), "red", weight),
                            java.util.Map.of()));
            return Optional.empty();
        } catch (ApiException e) {
            return Optional.of(e);
        }
    }

    /** Returns the refusals of each race between two operators. */
    private static List<List<ApiException>> races(boolean ignoreRevisions) throws Exception {
        List<List<ApiException>> rounds = new ArrayList<>();
        try (TestCell cell = TestCell.start(SmallCell.of(3).plan());
                ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            cell.controlStore("ignore-revisions?on=" + ignoreRevisions);
            // Both operators read the version before either writes.
            cell.controlStore("slow?millis=100");
            for (int round = 0; round < ROUNDS; round++) {
                long version = version(cell, cell.entry(0));
                int weight = 10 + 2 * round;
                var first = executor.submit(() -> race(cell, 0, version, weight));
                var second = executor.submit(() -> race(cell, 1, version, weight + 1));
                List<ApiException> refused = new ArrayList<>();
                first.get().ifPresent(refused::add);
                second.get().ifPresent(refused::add);
                rounds.add(refused);
            }
        }
        return rounds;
    }

    @Test
    public void oneOfTwoOperatorsWins() throws Exception {
        for (List<ApiException> refused : races(false)) {
            assertEquals(refused.size(), 1, "refused: " + refused);
            assertEquals(refused.get(0).error().code(), ErrorCodes.VERSION_CONFLICT);
            assertFalse(refused.get(0).error().changes().isEmpty(), "the loser sees no change");
        }
    }

    /** Guards against races that never overlap: without compare-and-swap both operators win. */
    @Test
    public void bothOperatorsWinWithoutCompareAndSwap() throws Exception {
        long both = races(true).stream().filter(List::isEmpty).count();
        Judgement.seen("ConfigurationTest.off", "roundsWithTwoWinners=" + both);
        assertTrue(both > 0, "no round had two winners");
    }

    @Test
    public void changeIsInForceOnEightEntries() throws Exception {
        try (TestCell cell = TestCell.start(SmallCell.of(8).plan())) {
            // The bound covers an idle cell; all entries have to have found each other first.
            Thread.sleep(Duration.ofSeconds(3));
            long version = apply(cell, 1, 2);
            awaitVersion(cell, version, System.nanoTime());
        }
    }
}
