package org.jujubefork.bench.workflow;

import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.jujubefork.core.workflow.SchedulingPolicies;
import org.testng.annotations.Test;

/**
 * Guards against a leader that leaves jobs of a less urgent queue waiting in a large fleet,
 * although the fleet has capacity for them.
 */
public final class LeaderEmulatorTest {
    private static final int SECONDS = 30;

    @Test
    public void calmDayOfLargeFleetIsServed() {
        LeaderReport report =
                LeaderEmulator.run(
                        new LeaderEmulator.Setup(
                                1,
                                258,
                                47,
                                JobKind.WAITING_LIST,
                                0.9,
                                0,
                                SECONDS,
                                SchedulingPolicies.DEFAULT));
        for (Map.Entry<String, Double> kind : report.doneFractions().entrySet()) {
            assertTrue(
                    kind.getValue() >= 0.8,
                    kind.getKey() + " done " + kind.getValue() + "; " + report.lines());
        }
    }

    /**
     * Guards against capacity that is kept idle for gangs which can still wait. The jobs ask for
     * almost the whole fleet.
     */
    @Test
    public void waitingGangsLeaveCapacityToOtherWork() {
        LeaderReport report =
                LeaderEmulator.run(
                        new LeaderEmulator.Setup(
                                1,
                                258,
                                52,
                                JobKind.WAITING_LIST,
                                1.2,
                                0,
                                45,
                                SchedulingPolicies.DEFAULT));
        for (Map.Entry<String, Double> kind : report.doneFractions().entrySet()) {
            assertTrue(
                    kind.getValue() >= 0.7,
                    kind.getKey() + " done " + kind.getValue() + "; " + report.lines());
        }
    }
}
