package org.jujubefork.core.workflow;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jujubefork.core.model.Resources;
import org.testng.annotations.Test;

/**
 * Guards against service tasks that stay in an evacuated zone although they may move, and against
 * moves that make more tasks unavailable than the step allows.
 */
public final class ServiceMovesTest {
    private static final String[] WORKERS = {"a1", "a2", "a3", "b1"};
    private static final Resources SIZE = Resources.of(5_000, 1_000, 0);

    private static EvacuationFixture running(int mayMiss) {
        EvacuationFixture fixture = EvacuationFixture.leading("a1", "a2", "a3");
        fixture.submit("j", TestSteps.job(TestSteps.persistent(3, SIZE, mayMiss)));
        fixture.advance(500, "a1", "a2", "a3");
        assertEquals(fixture.leader.starts().size(), 3);
        fixture.listWorkers(WORKERS);
        fixture.advance(500, WORKERS);
        return fixture;
    }

    private static long startsOn(EvacuationFixture fixture, String worker) {
        return fixture.leader.startedWorkers().stream().filter(worker::equals).count();
    }

    private static long moved(EvacuationFixture fixture) {
        return fixture.logged("service-task-moved").size();
    }

    /** Guards against more tasks at a time than {@code mayMiss}, and a next move too early. */
    @Test
    public void movesOneByOneUntilTheNewRunHasFullSpeed() {
        EvacuationFixture fixture = running(1);
        fixture.slowWorkers.add("b1");
        fixture.evacuate("a");
        fixture.advance(1_000, WORKERS);
        assertEquals(moved(fixture), 1, "stops before the first one is confirmed");
        fixture.confirmStops();
        fixture.advance(2_000, WORKERS);
        assertEquals(startsOn(fixture, "b1"), 1);
        assertEquals(moved(fixture), 1, "stops while the moved task is slow");
        fixture.slowWorkers.clear();
        for (int i = 0; i < 2; i++) {
            fixture.advance(1_000, WORKERS);
            fixture.confirmStops();
            fixture.advance(1_000, WORKERS);
        }
        assertEquals(startsOn(fixture, "b1"), 3);
        assertEquals(moved(fixture), 3);
    }

    /** Guards against tasks that are moved beside one that is unavailable for another cause. */
    @Test
    public void otherCausesCount() {
        EvacuationFixture fixture = running(1);
        WorkflowEffect.Start lost = fixture.leader.starts().get(0);
        fixture.evacuate("b");
        fixture.leader.answerLeaseRenewal(
                lost.worker().id(),
                List.of(),
                List.of(
                        new WorkflowEvent.EndedRun(
                                1,
                                lost.command().task(),
                                lost.command().runNumber(),
                                WorkflowEvent.RunOutcome.FAILED,
                                "")));
        fixture.evacuate("a");
        fixture.advance(2_000, WORKERS);
        assertEquals(moved(fixture), 0);
    }

    /** Guards against a stop of a service that allows no unavailable task. */
    @Test
    public void staysWithoutAnAllowance() {
        EvacuationFixture fixture = running(0);
        fixture.evacuate("a");
        fixture.advance(2_000, WORKERS);
        assertEquals(moved(fixture), 0);
    }

    /** Guards against a stop of a task that has room nowhere else. */
    @Test
    public void staysWithoutRoomElsewhere() {
        EvacuationFixture fixture = running(2);
        fixture.evacuate("b");
        fixture.evacuate("a");
        fixture.advance(2_000, WORKERS);
        assertEquals(moved(fixture), 0);
    }

    /** Guards against an unused allowance. */
    @Test
    public void movesAsManyAsAllowed() {
        EvacuationFixture fixture = running(2);
        fixture.evacuate("a");
        fixture.advance(1_000, WORKERS);
        assertEquals(moved(fixture), 2);
    }
}
