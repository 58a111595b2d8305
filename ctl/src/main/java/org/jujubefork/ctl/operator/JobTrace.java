package org.jujubefork.ctl.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The history of a job, reconstructed from the log lines of all entries. Log files may be
 * incomplete; the findings name each run whose start or end is missing.
 *
 * @param job the identifier of the job
 * @param lines the lines about the job and those that may explain its delays, sorted by time
 * @param findings conclusions from the lines: acceptance, long waits, failures, missing lines
 */
record JobTrace(String job, List<LogLine> lines, List<String> findings) {
    /** Shortest wait for a start that is reported as a finding. */
    private static final long MIN_REPORTED_WAIT_MILLIS = 500;

    /** Events other than those of workers that may explain why a job waited. */
    private static final Set<String> CONTEXT_EVENTS =
            Set.of("claim", "lead", "deposed", "resign", "dependency-lost", "dependency-regained");

    /** Copies the lists. */
    JobTrace {
        lines = List.copyOf(lines);
        findings = List.copyOf(findings);
    }

    /** Returns the history of {@code job} from the log lines of all entries, in any order. */
    static JobTrace of(String job, List<LogLine> allLines) {
        List<LogLine> jobLines =
                allLines.stream()
                        .filter(l -> l.isAbout(job))
                        .sorted(Comparator.comparingLong(LogLine::at))
                        .toList();
        if (jobLines.isEmpty()) {
            return new JobTrace(job, List.of(), List.of("no log line mentions the job"));
        }
        long fromMillis = jobLines.getFirst().at() - jobLines.getFirst().numericValue("stored_ms");
        long untilMillis = jobLines.getLast().at();
        Set<String> workers = Set.copyOf(jobLines.stream().map(l -> l.value("worker")).toList());
        List<LogLine> lines = new ArrayList<>(jobLines);
        for (LogLine line : allLines) {
            boolean isWorkerEvent =
                    line.event().startsWith("worker-") && workers.contains(line.subject());
            boolean inTimeRange = line.at() >= fromMillis && line.at() <= untilMillis;
            if (inTimeRange && (isWorkerEvent || CONTEXT_EVENTS.contains(line.event()))) {
                lines.add(line);
            }
        }
        lines.sort(Comparator.comparingLong(LogLine::at));
        return new JobTrace(job, lines, findings(jobLines, lines));
    }

    private static List<String> findings(List<LogLine> jobLines, List<LogLine> lines) {
        List<String> findings = new ArrayList<>();
        for (LogLine line : jobLines) {
            switch (line.event()) {
                case "job-refused", "call-refused" ->
                        findings.add(
                                "refused by "
                                        + line.source()
                                        + ": "
                                        + line.value("reason")
                                        + millisSuffix(line, "retry_after_ms", ", retry after "));
                case "call-unanswered" ->
                        findings.add(
                                "no answer from a leader within "
                                        + line.value("limit_ms")
                                        + " ms at "
                                        + line.source());
                case "job-accepted" ->
                        findings.add(
                                "accepted for "
                                        + line.value("team")
                                        + " on "
                                        + line.value("queue")
                                        + millisSuffix(line, "stored_ms", ", stored after "));
                case "job-cancelled" -> findings.add("cancelled by its caller");
                case "job-failed" ->
                        findings.add(
                                "failed: "
                                        + line.value("failures")
                                        + " failures of "
                                        + line.value("task")
                                        + " with "
                                        + line.value("attempts")
                                        + " attempts, the last on "
                                        + line.value("worker"));
                default -> {
                    // Events of tasks are evaluated in addLongWaits and addRunProblems.
                }
            }
        }
        addLongWaits(jobLines, lines, findings);
        addRunProblems(jobLines, findings);
        return findings;
    }

    private static String millisSuffix(LogLine line, String key, String label) {
        return line.value(key).isEmpty() ? "" : label + line.value(key) + " ms";
    }

    /** Reports long waits for the start of a task, and the context events during each wait. */
    private static void addLongWaits(
            List<LogLine> jobLines, List<LogLine> lines, List<String> findings) {
        for (LogLine start : jobLines) {
            long waited = start.numericValue("waited_ms");
            if (!start.event().equals("task-start") || waited < MIN_REPORTED_WAIT_MILLIS) {
                continue;
            }
            List<String> concurrentEvents =
                    lines.stream()
                            .filter(l -> l.at() <= start.at() && l.at() >= start.at() - waited)
                            .filter(l -> !jobLines.contains(l))
                            .map(l -> l.event() + " " + l.subject())
                            .distinct()
                            .toList();
            findings.add(
                    "run "
                            + start.value("run")
                            + " of "
                            + start.subject()
                            + " waited "
                            + waited
                            + " ms "
                            + (concurrentEvents.isEmpty()
                                    ? "for free capacity or the advice service"
                                    : "while: " + String.join(", ", concurrentEvents)));
        }
    }

    /** Reports runs that failed, and runs whose start or end is missing in the log lines. */
    private static void addRunProblems(List<LogLine> jobLines, List<String> findings) {
        Map<String, LogLine> openRuns = new HashMap<>();
        long failures = 0;
        for (LogLine line : jobLines) {
            String run = line.subject() + " run " + line.value("run");
            switch (line.event()) {
                case "task-start", "task-adopted" -> openRuns.put(run, line);
                case "start-refused" -> {
                    openRuns.remove(run);
                    findings.add(
                            run
                                    + " was refused by "
                                    + line.value("worker")
                                    + ": "
                                    + line.value("outcome"));
                }
                case "task-gone" -> {
                    openRuns.remove(run);
                    findings.add(run + " was no longer on " + line.value("worker"));
                }
                case "task-ended" -> {
                    boolean started = openRuns.remove(run) != null;
                    failures += line.value("how").equals("FAILED") ? 1 : 0;
                    if (!started) {
                        findings.add(run + " has an end but no start: lines are missing");
                    }
                }
                default -> {
                    // Other events do not concern runs.
                }
            }
        }
        if (failures > 0) {
            findings.add(failures + " runs ended as FAILED");
        }
        openRuns.keySet().stream()
                .sorted()
                .forEach(
                        run ->
                                findings.add(
                                        run
                                                + " has no end: part of an ended gang, lost with"
                                                + " its worker, or lines are missing"));
    }
}
