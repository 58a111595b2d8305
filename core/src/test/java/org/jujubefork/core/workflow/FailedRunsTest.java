package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/**
 * Guards against failures that are counted twice or not at all when completions are reported again.
 */
public final class FailedRunsTest {
    @Test
    public void eachRunCountsOnceInAnyOrder() {
        FailedRuns failures =
                FailedRuns.NONE.withRun(4).withRun(1).withRun(4).withRun(3).withRun(1);
        assertEquals(failures.count(), 3);
    }
}
