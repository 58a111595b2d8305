package org.jujubefork.standins.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;
import org.jujubefork.standins.history.check.AtMostOnceChecker;
import org.jujubefork.standins.history.check.CapacityChecker;
import org.jujubefork.standins.history.check.SinglePlaceChecker;

/** Summarizes a replay and runs the checkers over its history. */
final class ReplayReport {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final ExampleCell example;
    private final Replay replay;
    private final List<HistoryEvent> history;
    private final List<String> lines = new ArrayList<>();
    private boolean failed;

    private ReplayReport(ExampleCell example, Replay replay, List<HistoryEvent> history) {
        this.example = example;
        this.replay = replay;
        this.history = history;
    }

    static ReplayReport of(ExampleCell example, Replay replay, List<HistoryEvent> history) {
        ReplayReport report = new ReplayReport(example, replay, history);
        report.addOutcomes();
        report.addWaitingTimes();
        report.addJobs();
        report.addShares();
        report.addCheckResults();
        return report;
    }

    List<String> lines() {
        return List.copyOf(lines);
    }

    boolean failed() {
        return failed;
    }

    private List<HistoryEvent> starts() {
        return history.stream().filter(e -> e.type() == EventType.START).toList();
    }

    private void addOutcomes() {
        lines.add("placed: " + starts().size());
        Map<Outcome, Long> outcomes =
                replay.calls().stream()
                        .collect(
                                Collectors.groupingBy(
                                        CallRecord::outcome, TreeMap::new, Collectors.counting()));
        lines.add("requests: " + replay.calls().size() + " " + outcomes);
        Map<String, Long> reasons =
                replay.calls().stream()
                        .filter(c -> c.outcome() != Outcome.DONE)
                        .collect(
                                Collectors.groupingBy(
                                        c -> c.queue() + " " + c.outcome() + " " + c.reason(),
                                        TreeMap::new,
                                        Collectors.counting()));
        lines.add("refused or unknown: " + reasons);
        lines.add("jobs refused: " + replay.jobErrors());
    }

    private void addWaitingTimes() {
        Map<String, Histogram> histograms = new TreeMap<>();
        for (CallRecord call : replay.calls()) {
            if (call.outcome() == Outcome.DONE) {
                long nanos = call.endedNanos() - call.startedNanos();
                record(histograms, example.kindsByQueue().get(call.queue()) + " answer", nanos);
            }
        }
        Map<String, Replay.Job> jobs =
                replay.jobs().stream().collect(Collectors.toMap(Replay.Job::id, j -> j));
        for (HistoryEvent start : starts()) {
            Replay.Job job = jobs.get(start.text("job"));
            if (job != null && start.number("attempt") <= 1) {
                record(
                        histograms,
                        example.kindsByQueue().get(job.queue()) + " start",
                        Math.max(0, start.nanos() - job.acceptedNanos()));
            }
        }
        histograms.forEach(
                (kind, h) ->
                        lines.add(
                                "milliseconds to "
                                        + kind
                                        + ": p50="
                                        + h.getValueAtPercentile(50)
                                        + " p99="
                                        + h.getValueAtPercentile(99)
                                        + " n="
                                        + h.getTotalCount()));
    }

    private static void record(Map<String, Histogram> histograms, String name, long nanos) {
        histograms
                .computeIfAbsent(name, k -> new Histogram(SIGNIFICANT_DIGITS))
                .recordValue(TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    private void addJobs() {
        lines.add(
                "jobs by state: "
                        + replay.jobs().stream()
                                .collect(
                                        Collectors.groupingBy(
                                                j -> j.queue() + " " + j.state(),
                                                TreeMap::new,
                                                Collectors.counting())));
        Map<String, Long> startsPerTask =
                starts().stream()
                        .filter(e -> e.has("job"))
                        .collect(
                                Collectors.groupingBy(
                                        e -> e.text("job") + "/" + e.number("index"),
                                        Collectors.counting()));
        lines.add(
                "tasks of jobs by number of starts: "
                        + startsPerTask.values().stream()
                                .collect(
                                        Collectors.groupingBy(
                                                n -> n, TreeMap::new, Collectors.counting())));
    }

    private void addShares() {
        Map<String, Double> cpuTimeByTeam = new TreeMap<>();
        Map<String, HistoryEvent> running = new HashMap<>();
        for (HistoryEvent event : history) {
            if (event.type() == EventType.START) {
                running.put(event.text("task"), event);
            } else if (event.type() == EventType.END) {
                HistoryEvent start = running.remove(event.text("task"));
                if (start != null) {
                    cpuTimeByTeam.merge(
                            start.text("team"),
                            (double) start.number("cpuMillis") * (event.nanos() - start.nanos()),
                            Double::sum);
                }
            }
        }
        double totalCpuTime =
                Math.max(1, cpuTimeByTeam.values().stream().mapToDouble(d -> d).sum());
        double totalWeight = example.weightsByTeam().values().stream().mapToDouble(d -> d).sum();
        example.weightsByTeam()
                .forEach(
                        (team, weight) ->
                                lines.add(
                                        String.format(
                                                java.util.Locale.ROOT,
                                                "team %s: %.1f%% of processor time, weight %.1f%%",
                                                team,
                                                100
                                                        * cpuTimeByTeam.getOrDefault(team, 0.0)
                                                        / totalCpuTime,
                                                100 * weight / totalWeight)));
    }

    private void addCheckResults() {
        addCheckResult("P1 capacity", new CapacityChecker().check(history));
        addCheckResult("P2 single place", new SinglePlaceChecker().check(history));
        List<HistoryEvent> commands =
                history.stream().filter(e -> e.text("kind").equals("COMMAND")).toList();
        addCheckResult("P7 at most once", new AtMostOnceChecker().check(commands));
        Set<String> started = new HashSet<>();
        starts().forEach(e -> started.add(e.text("idempotencyKey")));
        Set<String> done =
                replay.calls().stream()
                        .filter(c -> c.outcome() == Outcome.DONE)
                        .map(CallRecord::id)
                        .collect(Collectors.toSet());
        // A request whose key another caller sent as well may have run for that caller.
        addCheckResult(
                "P6 not run",
                replay.calls().stream()
                        .filter(c -> c.outcome() == Outcome.NOT_RUN)
                        .filter(c -> started.contains(c.id()) && !done.contains(c.id()))
                        .toList());
        addCheckResult(
                "P5 whole answer", replay.calls().stream().filter(CallRecord::wrongBody).toList());
        addCheckResult(
                "idempotent requests answered after retries",
                replay.calls().stream()
                        .filter(c -> !c.command() && c.attempts() > 1)
                        .filter(c -> c.outcome() != Outcome.DONE)
                        .toList());
    }

    private void addCheckResult(String checkName, List<?> violations) {
        failed |= !violations.isEmpty();
        lines.add(
                "checker "
                        + checkName
                        + ": "
                        + (violations.isEmpty()
                                ? "passed"
                                : violations.size() + " violations, first " + violations.get(0)));
    }
}
