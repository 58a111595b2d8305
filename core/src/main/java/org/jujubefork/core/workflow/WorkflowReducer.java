package org.jujubefork.core.workflow;

import org.jujubefork.core.workflow.WorkflowEvent.Tick;

/**
 * The one place where the control state of an entry changes.
 *
 * <p>It is a pure function: the same state and event always give the same transition, so that a
 * recorded log of events replays to the same effects.
 */
public final class WorkflowReducer {
    /** A longer time between two events of a leader, which ticks often, is a pause. */
    private static final long PAUSE_MILLIS = 700;

    private WorkflowReducer() {}

    /** Returns the state after {@code event} and what is to be done about it. */
    public static WorkflowTransition reduce(WorkflowState state, WorkflowEvent event) {
        WorkflowState seen = event instanceof Tick tick ? notePause(state, tick) : state;
        WorkflowState now = seen.at(event.at());
        boolean stale =
                event instanceof WorkflowEvent.FencedOutcome sent
                        && !(state.leadership().leads() && sent.fence() == state.fence());
        WorkflowTransition reduced = stale ? WorkflowTransition.of(now) : dispatch(now, event);
        return reduced.then(WorkflowReducer::afterEvent);
    }

    private static WorkflowTransition dispatch(WorkflowState state, WorkflowEvent event) {
        return switch (event) {
            case Tick e -> tick(state.atWall(e.wallMillis()));
            case WorkflowEvent.ConfigurationRead e -> configuration(state, e);
            case WorkflowEvent.LeaderRead e -> Election.leaderRead(state, e);
            case WorkflowEvent.LeaderSignalReceived e -> Election.linkSeen(state, e);
            case WorkflowEvent.ClaimCompleted e -> Election.claimEnded(state, e);
            case WorkflowEvent.ResignRequested e -> Election.resign(state);
            case WorkflowEvent.WorkersListed e -> Fleet.listed(state, e);
            case WorkflowEvent.AdvisorsChanged e ->
                    AdviceDispatcher.dispatch(state.with(state.desk().withAdvisors(e.advisors())));
            case WorkflowEvent.LeaseRenewalAnswered e -> WorkerReports.answered(state, e);
            case WorkflowEvent.LeaseRenewalFailed e -> Fleet.holdFailed(state, e);
            case WorkflowEvent.CommandCompleted e -> WorkerCommands.ended(state, e);
            case WorkflowEvent.AdviceCompleted e -> AdviceDispatcher.ended(state, e);
            case WorkflowEvent.CallArrived e -> CallHandler.arrived(state, e);
            case WorkflowEvent.CommitCompleted e -> CommitWriter.ended(state, e);
        };
    }

    /**
     * After a pause another entry may lead, and a worker that has restarted meanwhile has forgotten
     * its fence. The store has to confirm the leadership again before the next order. A VM that was
     * suspended shows the pause only in its time of day.
     */
    private static WorkflowState notePause(WorkflowState state, Tick tick) {
        long step = tick.at() - state.now();
        long wallStep = tick.wallMillis() - state.wallMillis();
        boolean known = state.wallMillis() > 0;
        boolean paused = step > PAUSE_MILLIS || Math.abs(wallStep) > PAUSE_MILLIS;
        return known && paused ? state.with(state.leadership().unconfirmed(tick.at())) : state;
    }

    private static WorkflowTransition tick(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state).then(Election::tick);
        if (!result.state().leadership().leads()) {
            return result;
        }
        return result.then(Schedules::tick)
                .then(Fleet::tick)
                .then(WorkerCommands::tick)
                .then(CallHandler::refuseUnsent)
                .then(CommitWriter::tick)
                .then(WorkflowReducer::place);
    }

    /** Runs the placement, which looks at all jobs, in ticks only; the loop bounds their share. */
    private static WorkflowTransition place(WorkflowState state) {
        boolean regular = state.now() - state.placedAt() >= WorkflowLimits.LEADER_TICK_MILLIS;
        boolean due = state.placementDue() || regular;
        boolean spaced = state.now() - state.placedAt() >= state.placementSpacing();
        return state.mayOrder() && due && spaced
                ? Placement.run(state.placed()).then(AdviceDispatcher::dispatch)
                : WorkflowTransition.of(state);
    }

    private static WorkflowTransition configuration(
            WorkflowState state, WorkflowEvent.ConfigurationRead event) {
        boolean newer =
                event.configuration().isPresent()
                        && event.configuration().get().version()
                                > state.configuration()
                                        .map(CellConfiguration::version)
                                        .orElse(Long.MIN_VALUE);
        WorkflowState next =
                state.withConfiguration(
                        newer ? event.configuration() : state.configuration(), event.sentAt());
        WorkflowTransition result = WorkflowTransition.of(next);
        return newer
                ? result.with(
                        WorkflowEffect.LogEvent.of(
                                "configuration-in-force",
                                event.configuration().get().version(),
                                "queues",
                                event.configuration().get().queues().size(),
                                "age_ms",
                                event.at() - event.sentAt()))
                : result;
    }

    private static WorkflowTransition afterEvent(WorkflowState state) {
        if (!state.mayOrder()) {
            return WorkflowTransition.of(state);
        }
        WorkflowTransition result = WorkflowTransition.of(state).then(CommitWriter::flush);
        return result.then(Fleet::holdAll);
    }
}
