package org.jujubefork.entry.peer;

import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.entry.answers.AnswerChannel;
import org.testng.annotations.Test;

/** Guards against an attempt that ends twice, so that one failure is reported twice. */
public final class OutgoingForwardsLincheckTest {
    private static final int ITERATIONS = 20;
    private static final int INVOCATIONS = 500;
    private static final RequestId REQUEST = RequestId.of("r");

    private final OutgoingForwards forwards = new OutgoingForwards();

    /** Starts an attempt. Only the control thread does so, hence the non-parallel group. */
    @Operation(nonParallelGroup = "control")
    public long start() {
        AnswerChannel channel = AnswerChannel.of(false, 1);
        return forwards.start(REQUEST, EntryId.of("e", 1), "127.0.0.1:1", channel).correlationId();
    }

    /** Ends the first attempt, as happens when its result arrives or its connection is lost. */
    @Operation
    public boolean endFirst() {
        return forwards.end(1).isPresent();
    }

    /** Ends the second attempt, while the first one may be ending as well. */
    @Operation
    public boolean endSecond() {
        return forwards.end(2).isPresent();
    }

    @Test
    public void operationsAreLinearizable() {
        new StressOptions()
                .iterations(ITERATIONS)
                .invocationsPerIteration(INVOCATIONS)
                .threads(2)
                .actorsPerThread(3)
                .check(OutgoingForwardsLincheckTest.class);
    }
}
