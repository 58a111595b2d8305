package org.jujubefork.entry.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.core.workflow.Evacuations;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.Leadership;
import org.jujubefork.core.workflow.SchedulingPolicies;
import org.jujubefork.core.workflow.WorkflowEffect.LogEvent;
import org.jujubefork.core.workflow.WorkflowState;
import org.testng.annotations.Test;

/** Guards against a leader whose control thread is overloaded without a trace in its log. */
public final class ControlLoadLogTest {
    private static final WorkflowState FOLLOWER =
            WorkflowState.initial("e0", 1_000, SchedulingPolicies.DEFAULT, Evacuations.NONE);

    private static final WorkflowState LEADER =
            FOLLOWER.with(Leadership.NONE.leading(new LeaderRecord("e0", "h:1", 3, 7, true), 0));

    private final List<LogEvent> lines = new ArrayList<>();

    private void tickFor(ControlLoadLog log, long millis) {
        for (long now = 100; now <= millis; now += 100) {
            log.onTick(now, now == 400 ? 90 : 10, now == 600 ? 7 : 0);
        }
    }

    @Test
    public void leaderReportsItsLoadOnceASecond() {
        tickFor(new ControlLoadLog(() -> LEADER, lines::add), 2_000);
        assertEquals(lines.size(), 2, lines.toString());
        LogEvent first = lines.getFirst();
        assertEquals(first.event(), "control-load");
        assertEquals(
                first.fields().subList(0, 10),
                List.of(
                        "period_ms",
                        "1000",
                        "ticks",
                        "10",
                        "busy_ms",
                        "180",
                        "longest_tick_ms",
                        "90",
                        "queued_events",
                        "7"));
        assertEquals(lines.getLast().fields().get(7), "10", "the first second counts twice");
    }

    @Test
    public void followerReportsNothing() {
        tickFor(new ControlLoadLog(() -> FOLLOWER, lines::add), 2_000);
        assertTrue(lines.isEmpty(), lines.toString());
    }
}
