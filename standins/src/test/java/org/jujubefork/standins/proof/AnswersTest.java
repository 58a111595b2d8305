package org.jujubefork.standins.proof;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.standins.cell.CallRecord;
import org.jujubefork.standins.cell.Caller;
import org.jujubefork.standins.cell.CellPlan;
import org.jujubefork.standins.cell.LoadGenerator;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.testng.annotations.Test;

/**
 * P5. Guards against answers that are cut short, mixed up or given to another caller, with answers
 * of 100 bytes to 4 MB through all entries, slow workers and connections that break.
 */
public final class AnswersTest {
    private static final int PER_SECOND = 25;
    private static final int SMALLEST_BYTES = 100;
    private static final int SIZES = 16;

    /** Sizes grow by factors of 2 from 100 bytes; the largest is 100 * 2^15, 3.3 MB, and 4 MB. */
    private static Caller.Request request(int number, SplittableRandom random) {
        int size = number % 50 == 0 ? 4_000_000 : SMALLEST_BYTES << random.nextInt(SIZES);
        return new Caller.Request(
                "a" + number,
                "red-lookup",
                false,
                Optional.of(SmallCell.key("red")),
                random.nextInt(100),
                size);
    }

    @Test
    public void answersAreWhole() throws Exception {
        long seed = Judgement.seed("AnswersTest", 401);
        CellPlan plan = SmallCell.of(3).workers(2, 2, 32).withWorkerRelays().plan();
        try (TestCell cell = TestCell.start(plan);
                LoadGenerator load =
                        LoadGenerator.start(cell, PER_SECOND, seed, AnswersTest::request)) {
            SplittableRandom random = new SplittableRandom(seed);
            cell.controlWorker("z1-w2", "delay", "?millis=300");
            List<String> workers = plan.workers().stream().map(CellPlan.Worker::id).toList();
            for (int i = 0; i < 8; i++) {
                Thread.sleep(500 + random.nextInt(500));
                cell.workerRelay(workers.get(random.nextInt(workers.size()))).resetConnections();
            }
            List<CallRecord> calls = load.stop();
            Judgement.seen("AnswersTest", Judgement.summary(calls));
            Judgement.safe(cell.fleetHistory(), calls);
            long done = Judgement.count(calls, c -> c.outcome() == Outcome.DONE);
            assertTrue(done > calls.size() / 2, "only " + done + " of " + calls.size());
        }
    }

    /**
     * Guards against a caller that cannot tell answers apart: it asks for one and judges another.
     */
    @Test
    public void callerSeesAnswersOfOthers() {
        List<String> wrong = new ArrayList<>();
        Caller.Request own = request(1, new SplittableRandom(402));
        byte[] whole = Caller.expectedAnswer(own);
        byte[] other = Caller.expectedAnswer(request(2, new SplittableRandom(402)));
        byte[] cut = java.util.Arrays.copyOf(whole, whole.length - 1);
        byte[] changed = whole.clone();
        changed[changed.length / 2] ^= 1;
        assertTrue(Caller.isAnswer(own, whole), "the whole answer is refused");
        for (byte[] body : List.of(other, cut, changed, new byte[0])) {
            if (Caller.isAnswer(own, body)) {
                wrong.add(body.length + " bytes");
            }
        }
        assertTrue(wrong.isEmpty(), "taken for the answer: " + wrong);
    }
}
