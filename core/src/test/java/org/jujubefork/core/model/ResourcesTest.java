package org.jujubefork.core.model;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/**
 * Guards against a count of tasks that exceeds a component, or that a zero component makes zero.
 */
public final class ResourcesTest {
    @Test
    public void countIsBoundedByTheScarcestComponent() {
        Resources total = Resources.of(32_000, 128_000, 0);
        assertEquals(Resources.of(9_000, 1_000, 0).countIn(total, 100), 3);
        assertEquals(Resources.of(1_000, 50_000, 0).countIn(total, 100), 2);
        assertEquals(Resources.of(1_000, 1_000, 1).countIn(total, 100), 0);
        assertEquals(Resources.of(1_000, 1_000, 0).countIn(total, 5), 5);
        assertEquals(Resources.ZERO.countIn(total, 7), 7);
        assertEquals(Resources.of(1, 1, 0).countIn(Resources.of(-1, 5, 0), 7), 0);
        assertEquals(Resources.of(0, 1, 0).countIn(Resources.of(-1, 5, 0), 7), 0);
    }
}
