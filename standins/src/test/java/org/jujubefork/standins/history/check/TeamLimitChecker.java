package org.jujubefork.standins.history.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujubefork.core.model.Resources;
import org.jujubefork.standins.history.HistoryEvent;

/** P4: no team has more running across the fleet than its upper limit at that time. */
public final class TeamLimitChecker implements HistoryChecker {
    private final List<LimitPoint> points;

    public TeamLimitChecker(List<LimitPoint> points) {
        this.points =
                points.stream().sorted(Comparator.comparingLong(LimitPoint::fromNanos)).toList();
    }

    /** Change of a team's usage, or of its limit if {@code limit} is not null. */
    private record Step(long nanos, String team, Resources delta, Resources limit) {}

    @Override
    public List<Violation> check(List<HistoryEvent> events) {
        List<Step> steps = new ArrayList<>();
        for (LimitPoint point : points) {
            steps.add(new Step(point.fromNanos(), point.team(), Resources.ZERO, point.limit()));
        }
        RunningTasks.replay(
                events,
                (tasks, start) ->
                        steps.add(
                                new Step(
                                        start.nanos(),
                                        start.text("team"),
                                        start.resources(),
                                        null)),
                (start, end) ->
                        steps.add(
                                new Step(
                                        end.nanos(),
                                        start.text("team"),
                                        Resources.ZERO.minus(start.resources()),
                                        null)));
        steps.sort(Comparator.comparingLong(Step::nanos));
        return judge(steps);
    }

    private static List<Violation> judge(List<Step> steps) {
        List<Violation> violations = new ArrayList<>();
        Map<String, Resources> usage = new HashMap<>();
        Map<String, Resources> limits = new HashMap<>();
        for (Step step : steps) {
            if (step.limit() != null) {
                limits.put(step.team(), step.limit());
            }
            Resources used = usage.merge(step.team(), step.delta(), Resources::plus);
            Resources limit = limits.get(step.team());
            // An end can leave a team above its limit, but the step that broke it is reported.
            if (limit != null && !step.delta().isNegative() && !used.fitsIn(limit)) {
                violations.add(
                        new Violation(
                                "P4",
                                step.nanos(),
                                step.team() + " uses " + used + " of " + limit));
            }
        }
        return List.copyOf(violations);
    }
}
