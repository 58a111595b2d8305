package org.jujubefork.core.workflow;

import org.jujubefork.core.workflow.WorkflowEvent.Tick;

/**
 * The only place where the control state of an entry changes.
 *
 * <p>The reducer is a pure function: the same state and event always result in the same transition,
 * so replaying a recorded log of events produces the same effects.
 */
public final class WorkflowReducer {
    /**
     * Maximum time between two ticks of a leader. A longer gap counts as a pause of the process,
     * because a leader ticks often.
     */
    private static final long MAX_TICK_GAP_MILLIS = 700;

    /** Minimum time between two checks of all workers. */
    private static final long FLEET_CHECK_INTERVAL_MILLIS = 80;

    private WorkflowReducer() {}

    /** Returns the state after {@code event} and the effects to carry out. */
    public static WorkflowTransition reduce(WorkflowState state, WorkflowEvent event) {
        WorkflowState checked = event instanceof Tick tick ? detectPause(state, tick) : state;
        WorkflowState current = checked.withTime(event.at());
        boolean isStale =
                event instanceof WorkflowEvent.FencedOutcome outcome
                        && !(state.leadership().leads() && outcome.fence() == state.fence());
        WorkflowTransition reduced =
                isStale ? WorkflowTransition.of(current) : dispatch(current, event);
        return reduced.then(s -> afterEvent(s, event));
    }

    private static WorkflowTransition dispatch(WorkflowState state, WorkflowEvent event) {
        return switch (event) {
            case Tick e -> tick(state.withWallTime(e.wallMillis()));
            case WorkflowEvent.ConfigurationRead e -> configurationRead(state, e);
            case WorkflowEvent.EvacuationsRead e -> ZoneEvacuation.read(state, e);
            case WorkflowEvent.LeaderRead e -> Election.leaderRead(state, e);
            case WorkflowEvent.LeaderSignalReceived e -> Election.leaderSignalReceived(state, e);
            case WorkflowEvent.ClaimCompleted e -> Election.claimCompleted(state, e);
            case WorkflowEvent.ResignRequested e -> Election.resign(state);
            case WorkflowEvent.WorkersListed e -> Fleet.workersListed(state, e);
            case WorkflowEvent.FollowersChanged e -> Election.followersChanged(state, e);
            case WorkflowEvent.SuccessionAnnounced e -> Election.successionAnnounced(state, e);
            case WorkflowEvent.LeaseRenewalAnswered e ->
                    WorkerReports.leaseRenewalAnswered(state, e);
            case WorkflowEvent.LeaseRenewalFailed e -> Fleet.leaseRenewalFailed(state, e);
            case WorkflowEvent.CommandCompleted e -> WorkerCommands.completed(state, e);
            case WorkflowEvent.AdviceCompleted e -> AdviceDispatcher.completed(state, e);
            case WorkflowEvent.CallArrived e -> CallHandler.callArrived(state, e);
            case WorkflowEvent.CommitCompleted e -> CommitWriter.completed(state, e);
        };
    }

    /**
     * Discards the store's confirmations of the leadership and of the evacuations after a pause, so
     * that the store has to confirm the leadership before the next command. Another entry may lead
     * by now, and a worker that has restarted does not know the fencing token of that leader, so it
     * would accept a command of this entry. When a VM was suspended, only the wall clock shows the
     * pause.
     */
    private static WorkflowState detectPause(WorkflowState state, Tick tick) {
        long gapMillis = tick.at() - state.now();
        long wallGapMillis = tick.wallMillis() - state.wallMillis();
        boolean hasWallTime = state.wallMillis() > 0;
        boolean paused =
                gapMillis > MAX_TICK_GAP_MILLIS || Math.abs(wallGapMillis) > MAX_TICK_GAP_MILLIS;
        if (!hasWallTime || !paused) {
            return state;
        }
        // The age of the view of the evacuations includes a pause that the monotonic clock shows.
        boolean isHidden = Math.abs(wallGapMillis - gapMillis) > MAX_TICK_GAP_MILLIS;
        WorkflowState next = state.with(state.leadership().withoutConfirmation(tick.at()));
        return isHidden ? next.with(next.evacuations().withoutConfirmation(tick.at())) : next;
    }

    private static WorkflowTransition tick(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state).then(Election::claimIfNeeded);
        if (!result.state().leadership().leads()) {
            return result;
        }
        return result.then(ZoneEvacuation::noteFreshness)
                .then(Schedules::makeOccurrencesDue)
                .then(WorkflowReducer::checkFleetIfDue)
                .then(CallHandler::rejectUnsent)
                .then(CommitWriter::forgetOldJobs)
                .then(WorkflowReducer::placeIfDue);
    }

    /**
     * Checks the leases and commands of all workers if that is due. Placement makes ticks frequent,
     * and a check examines all runs.
     */
    private static WorkflowTransition checkFleetIfDue(WorkflowState state) {
        if (state.now() - state.lastFleetCheckAt() < FLEET_CHECK_INTERVAL_MILLIS) {
            return WorkflowTransition.of(state);
        }
        return WorkflowTransition.of(state.withFleetChecked())
                .then(Fleet::checkExpiredLeases)
                .then(Fleet::recordIncarnations)
                .then(SilentWorkers::updateRecord)
                .then(WorkerCommands::retryStops)
                .then(CommitWriter::acknowledgeAllIfIdle)
                .then(WorkerLeases::renewDue);
    }

    /**
     * Runs a placement pass if one is due. A pass examines all jobs, so passes run only in ticks,
     * whose rate the control loop limits.
     */
    private static WorkflowTransition placeIfDue(WorkflowState state) {
        boolean regularPassDue =
                state.now() - state.lastPlacementAt() >= WorkflowLimits.LEADER_TICK_MILLIS;
        boolean isDue = state.placementDue() || regularPassDue;
        boolean intervalPassed =
                state.now() - state.lastPlacementAt() >= state.minPlacementIntervalMillis();
        return state.hasConfirmedLeadership() && isDue && intervalPassed
                ? Placement.run(state.withPlacementDone())
                        .then(ServiceMoves::moveDue)
                        .then(AdviceDispatcher::dispatch)
                : WorkflowTransition.of(state);
    }

    private static WorkflowTransition configurationRead(
            WorkflowState state, WorkflowEvent.ConfigurationRead event) {
        boolean isNewer =
                event.configuration().isPresent()
                        && event.configuration().get().version()
                                > state.configuration()
                                        .map(CellConfiguration::version)
                                        .orElse(Long.MIN_VALUE);
        WorkflowState next =
                state.withConfiguration(
                        isNewer ? event.configuration() : state.configuration(), event.sentAt());
        return isNewer
                ? Placement.releaseChanged(next, state.configuration())
                        .with(
                                WorkflowEffect.LogEvent.of(
                                        "configuration-in-force",
                                        event.configuration().get().version(),
                                        "queues",
                                        event.configuration().get().queues().size(),
                                        "age_ms",
                                        event.at() - event.sentAt()))
                : WorkflowTransition.of(next);
    }

    /**
     * Sends the commit and the lease renewals that the event has made due. Most events concern one
     * worker or none, and only then are the others left alone: a leader handles thousands of events
     * a second and has hundreds of workers.
     */
    private static WorkflowTransition afterEvent(WorkflowState state, WorkflowEvent event) {
        if (!state.hasConfirmedLeadership()) {
            return WorkflowTransition.of(state);
        }
        return switch (event) {
            case WorkflowEvent.LeaseRenewalAnswered e ->
                    CommitWriter.sendIfDue(state)
                            .then(s -> CommitWriter.acknowledgeIfIdle(s, e.worker()))
                            .then(s -> WorkerLeases.renewIfDue(s, e.worker()));
            case WorkflowEvent.CommitCompleted e -> afterFleetEvent(state);
            case WorkflowEvent.WorkersListed e -> afterFleetEvent(state);
            case WorkflowEvent.ClaimCompleted e -> afterFleetEvent(state);
            default -> CommitWriter.sendIfDue(state);
        };
    }

    private static WorkflowTransition afterFleetEvent(WorkflowState state) {
        return CommitWriter.sendIfDue(state)
                .then(CommitWriter::acknowledgeAllIfIdle)
                .then(WorkerLeases::renewDue);
    }
}
