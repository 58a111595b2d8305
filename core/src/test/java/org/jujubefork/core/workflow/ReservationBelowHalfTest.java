package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.Test;

/**
 * Guards against an accepted task that waits because workers are reserved for a gang, while less
 * than half of the capacity of its service is in use.
 */
public final class ReservationBelowHalfTest {
    private static final String[] WORKERS = {"a", "b", "c", "d"};

    /** Time within which a step that can run has to start, as the platform's rules demand. */
    private static final long MAX_START_MILLIS = 3_000;

    private static final long ESTIMATE_MILLIS = 4_000;

    /** Two workers of 16 cores run 14 cores each, so 28 of 64 cores (0.44) are in use. */
    @Test(groups = "known-red")
    public void taskStartsBesideReservationWhileMostCapacityIsFree() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(Resources.ZERO, WORKERS);
        fixture.submit("l0", LeaderFixture.job(14));
        fixture.advance(100, WORKERS);
        fixture.submit("l1", LeaderFixture.job(14));
        fixture.advance(100, WORKERS);
        assertEquals(fixture.leader.starts().size(), 2, "starts of the long tasks");
        Resources size = Resources.of(16_000, 1_000, 0);
        fixture.submit(
                "gang", TestSteps.job(TestSteps.step(3, size, ESTIMATE_MILLIS, List.of(), true)));
        fixture.advance(100, WORKERS);
        fixture.submit("small", LeaderFixture.job(4));
        fixture.advance(MAX_START_MILLIS, WORKERS);
        assertEquals(
                fixture.leader.starts().stream()
                        .filter(s -> s.command().task().job().equals("small"))
                        .count(),
                1,
                "starts of the small task; reserved workers: "
                        + fixture.leader.state().waitingSteps().reservedWorkers());
    }
}
