package org.jujubefork.entry.workflow;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jujubefork.core.workflow.WorkflowEffect.LogEvent;
import org.jujubefork.core.workflow.WorkflowState;
import org.jujubefork.entry.control.TickObserver;

/**
 * Writes a log line about the load of the leader's control thread once a second. Used on the
 * control thread only.
 */
final class ControlLoadLog implements TickObserver {
    /** Time between two lines. */
    static final long INTERVAL_MILLIS = 1_000;

    private final Supplier<WorkflowState> state;
    private final Consumer<LogEvent> logWriter;
    private ControlLoad load = ControlLoad.startingAt(0);

    ControlLoadLog(Supplier<WorkflowState> state, Consumer<LogEvent> logWriter) {
        this.state = state;
        this.logWriter = logWriter;
    }

    @Override
    public void onTick(long endedAt, long durationMillis, int queuedEvents) {
        load = load.plusTick(durationMillis, queuedEvents);
        if (endedAt - load.since() < INTERVAL_MILLIS) {
            return;
        }
        if (state.get().leadership().leads()) {
            logWriter.accept(line(endedAt));
        }
        load = ControlLoad.startingAt(endedAt);
    }

    private LogEvent line(long now) {
        WorkflowState current = state.get();
        return LogEvent.of(
                "control-load",
                current.term(),
                "period_ms",
                now - load.since(),
                "ticks",
                load.ticks(),
                "busy_ms",
                load.busyMillis(),
                "longest_tick_ms",
                load.longestTickMillis(),
                "queued_events",
                load.maxQueuedEvents(),
                "jobs",
                current.jobs().size(),
                "waiting_steps",
                current.waitingSteps().steps().size(),
                "advice_queue",
                current.adviceRequests().pending().size());
    }
}
