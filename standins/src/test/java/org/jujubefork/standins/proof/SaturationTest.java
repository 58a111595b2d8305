package org.jujubefork.standins.proof;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.JobRequest;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.Resources;
import org.jujubefork.standins.cell.CallRecord;
import org.jujubefork.standins.cell.Caller;
import org.jujubefork.standins.cell.CellPlan;
import org.jujubefork.standins.cell.LoadGenerator;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.history.HistoryEvent;
import org.jujubefork.standins.history.check.CapacityChecker;
import org.testng.annotations.Test;

/**
 * P1. Guards against workers that hold more than their capacity when requests and jobs want more
 * than all workers have, also while a shard changes its owner.
 */
public final class SaturationTest {
    private static final String WORKER = "z1-w1";
    private static final int PER_SECOND = 120;
    private static final Resources TASK = Resources.of(2_000, 8_192, 0);

    private static Caller.Request request(int number, java.util.SplittableRandom random) {
        return new Caller.Request(
                "s" + number,
                number % 5 == 0 ? "red-command" : "red-lookup",
                number % 5 == 0,
                Optional.of(SmallCell.key("red")),
                100 + random.nextInt(400),
                100);
    }

    static Optional<String> submit(TestCell cell, String queue, int tasks, long runMillis)
            throws Exception {
        try (ApiClient client = cell.client(0, Optional.of(SmallCell.key("red")))) {
            return Optional.of(
                    client.submit(
                                    new JobRequest(
                                            queue,
                                            "proof",
                                            tasks,
                                            Optional.empty(),
                                            "{\"runMillis\":" + runMillis + "}",
                                            Optional.of("job-" + System.nanoTime())))
                            .id());
        }
    }

    /**
     * Returns the history of a cell that is asked for about three times its capacity and changes an
     * owner while commands of the old one are on the network.
     */
    private static List<HistoryEvent> saturate(CellPlan plan, long seed) throws Exception {
        try (TestCell cell = TestCell.start(plan);
                LoadGenerator load =
                        LoadGenerator.start(cell, PER_SECOND, seed, SaturationTest::request)) {
            submit(cell, "red-batch", 40, 700);
            Thread.sleep(3_000);
            var owner = cell.ownerOf(WORKER).process();
            LateCommands late = LateCommands.to(cell, WORKER);
            owner.pause();
            try {
                late.passNewConnections();
                Thread.sleep(9_000);
                late.deliver();
            } finally {
                owner.resume();
            }
            Thread.sleep(2_000);
            List<CallRecord> calls = load.stop();
            Judgement.seen("SaturationTest", Judgement.summary(calls));
            Judgement.none(calls.stream().filter(CallRecord::wrongBody).toList());
            long done = Judgement.count(calls, c -> c.outcome() == Outcome.DONE);
            assertTrue(done < calls.size(), "the cell was not full");
            return cell.fleetHistory();
        }
    }

    @Test
    public void fullWorkersHoldNoMore() throws Exception {
        long seed = Judgement.seed("SaturationTest", 701);
        List<HistoryEvent> history =
                saturate(SmallCell.of(3).taskSize(TASK).withWorkerRelays().plan(), seed);
        Judgement.none(new CapacityChecker().check(history));
    }

    /** Guards against a blind checker: two owners that workers obey place past the capacity. */
    @Test
    public void checkerSeesOvercommitWithoutEpochs() throws Exception {
        CellPlan plan =
                SmallCell.of(3)
                        .taskSize(TASK)
                        .withWorkerRelays()
                        .fleetFlag("--ignore-epochs")
                        .plan();
        Judgement.seesViolations(
                "SaturationTest.off",
                702,
                seed -> new CapacityChecker().check(saturate(plan, seed)).size());
    }
}
