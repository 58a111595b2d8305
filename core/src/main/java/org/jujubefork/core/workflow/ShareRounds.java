package org.jujubefork.core.workflow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.jujubefork.core.workflow.Placement.Candidate;

/**
 * The order in which a placement pass places steps with regard to the shares of their teams: first
 * the steps within their share, then those beyond it, and last those that are too late. As each
 * placement changes what a team uses, a step is judged again when its turn comes.
 */
final class ShareRounds {
    /** Minimum time between two log lines about teams over their share. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final PassCapacity capacity;
    private final PassWaits waits;
    private final Placing placing;

    /** Places one step. */
    @FunctionalInterface
    interface Placing {
        /** Returns the transition in which the tasks of {@code candidate} that fit are placed. */
        WorkflowTransition place(
                WorkflowState state, Candidate candidate, PassCapacity capacity, PassWaits waits);
    }

    ShareRounds(PassCapacity capacity, PassWaits waits, Placing placing) {
        this.capacity = capacity;
        this.waits = waits;
        this.placing = placing;
    }

    /** Places {@code candidates}, which are sorted by the order in force, one by one. */
    WorkflowTransition placeAll(WorkflowState state, List<Candidate> candidates) {
        WorkflowState advanced =
                state.with(state.policies().share().advanced(state, capacity, candidates));
        return advanced.teamLedger().isKept()
                ? placeInRounds(advanced, candidates)
                : placeInOrder(WorkflowTransition.of(advanced), candidates);
    }

    private WorkflowTransition placeInOrder(WorkflowTransition before, List<Candidate> candidates) {
        WorkflowTransition result = before;
        for (Candidate candidate : candidates) {
            result = result.then(s -> place(s, candidate));
        }
        return result;
    }

    private WorkflowTransition placeInRounds(WorkflowState state, List<Candidate> candidates) {
        WorkflowTransition result = WorkflowTransition.of(state);
        List<Candidate> beyondShare = new ArrayList<>();
        List<Candidate> tooLate = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (candidate.rank() == Urgency.Rank.TOO_LATE) {
                tooLate.add(candidate);
            } else if (isBeyondShare(result.state(), candidate)) {
                beyondShare.add(withRankOverShare(candidate));
            } else {
                result = result.then(s -> place(s, candidate));
            }
        }
        beyondShare.sort(state.policies().order().waiting());
        result = placeByShare(result, beyondShare.stream().filter(c -> isWithinRate(c)).toList());
        result = placeByShare(result, beyondShare.stream().filter(c -> !isWithinRate(c)).toList());
        result = placeInOrder(result, tooLate);
        TeamLedger ledger = result.state().teamLedger().withWaiting(capacity.unplacedCandidates());
        return result.withState(result.state().with(ledger)).then(s -> logIfDue(s, beyondShare));
    }

    private static boolean isWithinRate(Candidate candidate) {
        return candidate.job().acceptance().withinShare();
    }

    /**
     * Places the steps of the team that is least over its share first; a placement can make another
     * team the next one. The steps of one team keep their order.
     */
    private WorkflowTransition placeByShare(WorkflowTransition before, List<Candidate> candidates) {
        Map<String, Deque<Candidate>> byTeam = new LinkedHashMap<>();
        for (Candidate candidate : candidates) {
            byTeam.computeIfAbsent(candidate.job().team(), t -> new ArrayDeque<>()).add(candidate);
        }
        WorkflowTransition result = before;
        while (!byTeam.isEmpty()) {
            TeamLedger ledger = result.state().teamLedger();
            String team =
                    Collections.min(byTeam.keySet(), Comparator.comparingDouble(ledger::rank));
            Deque<Candidate> steps = byTeam.get(team);
            // The order of the teams stays as it is until a placement changes the ledger.
            while (!steps.isEmpty() && result.state().teamLedger() == ledger) {
                Candidate candidate = steps.poll();
                result = result.then(s -> place(s, candidate));
            }
            if (steps.isEmpty()) {
                byTeam.remove(team);
            }
        }
        return result;
    }

    private static boolean isBeyondShare(WorkflowState state, Candidate candidate) {
        return candidate.rank() == Urgency.Rank.OVER_SHARE
                || !state.policies().share().isWithinShare(state, candidate.job());
    }

    private static Candidate withRankOverShare(Candidate candidate) {
        return candidate.with(candidate.standing().with(Urgency.Rank.OVER_SHARE));
    }

    private WorkflowTransition place(WorkflowState state, Candidate candidate) {
        WorkflowTransition placed =
                FailureIsolation.isolate(
                        state,
                        candidate.key(),
                        waits,
                        () -> placing.place(state, candidate, capacity, waits));
        String team = candidate.job().team();
        TeamLedger ledger = placed.state().teamLedger();
        TeamLedger updated = ledger.withRunning(team, capacity.teamUsage().of(team).cpuMillis());
        return updated == ledger ? placed : placed.withState(placed.state().with(updated));
    }

    private static WorkflowTransition logIfDue(WorkflowState state, List<Candidate> beyondShare) {
        TeamLedger ledger = state.teamLedger();
        boolean isDue =
                !beyondShare.isEmpty() && state.now() - ledger.loggedAt() >= LOG_INTERVAL_MILLIS;
        if (!isDue) {
            return WorkflowTransition.of(state);
        }
        String ratios =
                ledger.teamsOverShare().stream()
                        .map(t -> "%s:%.2f".formatted(t, ledger.shareRatio(t)))
                        .collect(Collectors.joining(","));
        long overRate = beyondShare.stream().filter(c -> !isWithinRate(c)).count();
        return WorkflowTransition.of(state.with(ledger.withLoggedAt(state.now())))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "teams-over-share",
                                ratios.isEmpty() ? "none" : ratios,
                                "steps",
                                beyondShare.size(),
                                "over_rate",
                                overRate));
    }
}
