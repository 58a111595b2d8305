package org.jujubefork.entry.http;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.jujubefork.core.placement.WorkerHealth;
import org.jujubefork.core.placement.WorkerPhase;
import org.jujubefork.core.placement.WorkerState;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/** Guards against worker views in which operators cannot recognize a quarantine. */
public final class StatusViewsTest {
    private static WorkerState worker(WorkerPhase phase, WorkerHealth.Phase health) {
        Resources capacity = Resources.of(1_000, 1_000, 0);
        WorkerListing listing =
                new WorkerListing(
                        WorkerId.of("w1"),
                        "127.0.0.1:1",
                        Location.of("r", "z", "k"),
                        capacity,
                        1,
                        false);
        return new WorkerState(
                listing,
                phase,
                new WorkerState.Properties(1, false, capacity, 1),
                new WorkerHealth(
                        health,
                        TreePVector.singleton(new WorkerHealth.Failure(1_000, "job-7")),
                        1,
                        11_000,
                        10_000,
                        Optional.empty()),
                WorkerState.acquiring(listing, 0).load(),
                Resources.ZERO,
                new WorkerState.Lease(TreePVector.empty(), 0, 0));
    }

    @Test
    public void quarantineIsShownWithReasonAndNextProbe() {
        WorkerState worker = worker(WorkerPhase.ACTIVE, WorkerHealth.Phase.QUARANTINED);
        assertEquals(StatusViews.condition(worker), "quarantined");
        assertEquals(
                StatusViews.unavailabilityReason(worker, 7_000),
                "1 failed tasks, the last one of job-7, next probe in 4000 ms");
    }

    @Test
    public void unreachableWorkerInQuarantineIsShownAsUnreachable() {
        WorkerState worker = worker(WorkerPhase.UNREACHABLE, WorkerHealth.Phase.PROBING);
        assertEquals(StatusViews.condition(worker), "unreachable");
    }
}
