package org.jujubefork.ctl.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The story of a job, put together from the log lines of all entries. Lines may be missing; what
 * they leave open is said.
 *
 * @param job the identifier of the job
 * @param lines the lines about the job, and those that tell what held it up, in their order
 * @param findings what the lines say of its fate
 */
record JobTrace(String job, List<LogLine> lines, List<String> findings) {
    /** Time without a start that is worth a word, in milliseconds. */
    private static final long LONG_WAIT_MILLIS = 500;

    /** Events of entries and workers that explain waits while a job is open. */
    private static final Set<String> CONTEXT =
            Set.of("claim", "lead", "deposed", "resign", "dependency-lost", "dependency-regained");

    /** Copies the lists. */
    JobTrace {
        lines = List.copyOf(lines);
        findings = List.copyOf(findings);
    }

    /** Returns the story of {@code job} as {@code all} lines tell it. */
    static JobTrace of(String job, List<LogLine> all) {
        List<LogLine> own =
                all.stream()
                        .filter(l -> l.isAbout(job))
                        .sorted(Comparator.comparingLong(LogLine::at))
                        .toList();
        if (own.isEmpty()) {
            return new JobTrace(job, List.of(), List.of("no line names the job"));
        }
        long from = own.getFirst().at() - own.getFirst().number("stored_ms");
        long until = own.getLast().at();
        Set<String> workers = Set.copyOf(own.stream().map(l -> l.value("worker")).toList());
        List<LogLine> lines = new ArrayList<>(own);
        for (LogLine line : all) {
            boolean lost = line.event().startsWith("worker-") && workers.contains(line.subject());
            boolean inTime = line.at() >= from && line.at() <= until;
            if (inTime && (lost || CONTEXT.contains(line.event()))) {
                lines.add(line);
            }
        }
        lines.sort(Comparator.comparingLong(LogLine::at));
        return new JobTrace(job, lines, findings(own, lines));
    }

    private static List<String> findings(List<LogLine> own, List<LogLine> lines) {
        List<String> findings = new ArrayList<>();
        for (LogLine line : own) {
            switch (line.event()) {
                case "job-refused", "call-refused" ->
                        findings.add(
                                "refused by "
                                        + line.source()
                                        + ": "
                                        + line.value("reason")
                                        + after(line, "retry_after_ms", ", retry after "));
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
                                        + after(line, "stored_ms", ", stored after "));
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
                    // Lines about tasks are summed up below.
                }
            }
        }
        addWaits(own, lines, findings);
        addRuns(own, findings);
        return findings;
    }

    private static String after(LogLine line, String key, String words) {
        return line.value(key).isEmpty() ? "" : words + line.value(key) + " ms";
    }

    /** Says how long steps waited for their start, and what happened meanwhile. */
    private static void addWaits(List<LogLine> own, List<LogLine> lines, List<String> findings) {
        for (LogLine start : own) {
            long waited = start.number("waited_ms");
            if (!start.event().equals("task-start") || waited < LONG_WAIT_MILLIS) {
                continue;
            }
            List<String> meanwhile =
                    lines.stream()
                            .filter(l -> l.at() <= start.at() && l.at() >= start.at() - waited)
                            .filter(l -> !own.contains(l))
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
                            + (meanwhile.isEmpty()
                                    ? "for room or advice"
                                    : "while: " + String.join(", ", meanwhile)));
        }
    }

    /** Names runs that ended badly, and runs whose start or end no line tells. */
    private static void addRuns(List<LogLine> own, List<String> findings) {
        Map<String, LogLine> open = new HashMap<>();
        long failures = 0;
        for (LogLine line : own) {
            String run = line.subject() + " run " + line.value("run");
            switch (line.event()) {
                case "task-start", "task-adopted" -> open.put(run, line);
                case "start-refused" -> {
                    open.remove(run);
                    findings.add(
                            run
                                    + " was refused by "
                                    + line.value("worker")
                                    + ": "
                                    + line.value("outcome"));
                }
                case "task-gone" -> {
                    open.remove(run);
                    findings.add(run + " was gone from " + line.value("worker"));
                }
                case "task-ended" -> {
                    boolean started = open.remove(run) != null;
                    failures += line.value("how").equals("FAILED") ? 1 : 0;
                    if (!started) {
                        findings.add(run + " has an end but no start: lines are missing");
                    }
                }
                default -> {
                    // The other lines say nothing about runs.
                }
            }
        }
        if (failures > 0) {
            findings.add(failures + " runs ended as FAILED");
        }
        open.keySet().stream()
                .sorted()
                .forEach(
                        run ->
                                findings.add(
                                        run
                                                + " has no end: part of an ended gang, lost with"
                                                + " its worker, or lines are missing"));
    }
}
