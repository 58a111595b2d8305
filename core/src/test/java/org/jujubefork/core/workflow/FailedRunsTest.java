package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against failures that count twice or not at all when ends are listed again. */
public final class FailedRunsTest {
    @Test
    public void eachRunCountsOnceInAnyOrder() {
        FailedRuns failures = FailedRuns.NONE.plus(4).plus(1).plus(4).plus(3).plus(1);
        assertEquals(failures.count(), 3);
    }
}
