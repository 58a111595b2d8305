package org.jujubefork.standins.delay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.HdrHistogram.Histogram;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;

/** Measures shares, waiting times and packing in a full cell, under two policies. */
final class ContentionReport {
    private static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long NEVER_MILLIS = 3_600_000;
    private static final int DIGITS = 3;
    private static final double PERCENT = 100;

    private ContentionReport() {}

    /** Measures and returns the section of the report. */
    static String measure() throws Exception {
        StringBuilder report = new StringBuilder("## Shares and waiting times in a full cell\n\n");
        report.append(ContendedCell.description())
                .append(
                        " Shares and packing are those of processor time from the 10th second on."
                                + " Distances are in points of the used processor time, by team in the"
                                + " order of the weights ")
                .append(ContendedCell.WEIGHTS.values())
                .append(
                        ". Waiting times run from the caller's planned send to the start at a"
                                + " worker, for work that started.\n\n| policy | mean distance | distance by team | ")
                .append(
                        "urgent, ms p50 / p99 | lookup | command | batch | batch tasks started | packing % |")
                .append(" requests not answered | jobs refused |\n")
                .append("|---|---|---|---|---|---|---|---|---|---|---|\n");
        report.append(row("default", cell -> cell));
        report.append(row("first fit, arrival order", ContentionReport::arrivalOrder));
        return report.toString();
    }

    /** Takes work in the order of arrival, ignores weights and never ends work for another team. */
    private static SmallCell arrivalOrder(SmallCell cell) {
        return cell.policy(new KindPolicy("fifo", "first-fit"))
                .tuning("reclaimAfterMillis", NEVER_MILLIS)
                .tuning("gangReserveAfterMillis", NEVER_MILLIS);
    }

    @SuppressWarnings("SystemOut") // a command's output
    private static String row(String name, UnaryOperator<SmallCell> policy) throws Exception {
        ContendedCell.Run run = ContendedCell.run(policy);
        Map<String, Double> used = usedByTeam(run);
        double all = used.values().stream().mapToDouble(d -> d).sum();
        double weights = ContendedCell.WEIGHTS.values().stream().mapToDouble(d -> d).sum();
        List<String> distances = new ArrayList<>();
        double total = 0;
        for (Map.Entry<String, Double> team : ContendedCell.WEIGHTS.entrySet()) {
            double distance =
                    PERCENT
                            * (used.getOrDefault(team.getKey(), 0.0) / all
                                    - team.getValue() / weights);
            total += Math.abs(distance);
            distances.add(String.format(Locale.ROOT, "%+.1f", distance));
        }
        Map<String, Histogram> waits = waits(run);
        StringBuilder line = new StringBuilder("| " + name);
        line.append(String.format(Locale.ROOT, " | %.1f | ", total / distances.size()));
        line.append(String.join(" ", distances));
        for (String kind : List.of("urgent", "lookup", "command", "batch")) {
            line.append(" | ").append(text(waits.get(kind)));
        }
        Histogram batch = waits.get("batch");
        line.append(" | ").append(batch == null ? 0 : batch.getTotalCount());
        line.append(" of ").append(run.submittedNanos().size() * ContendedCell.JOB_TASKS);
        line.append(String.format(Locale.ROOT, " | %.1f", PERCENT * all / capacity(run)));
        line.append(" | ").append(run.calls().stream().filter(c -> !c.isAnswered()).count());
        line.append(" of ").append(run.calls().size());
        line.append(" | ").append(run.refusedJobs()).append(" |\n");
        System.out.print(line);
        return line.toString();
    }

    private static String text(Histogram histogram) {
        return histogram == null
                ? "none"
                : histogram.getValueAtPercentile(50) + " / " + histogram.getValueAtPercentile(99);
    }

    /** Returns the processor time that the workers have within the measured time. */
    private static double capacity(ContendedCell.Run run) {
        double measured = run.endedNanos() - run.beganNanos() - RAMP_NANOS;
        return measured
                * run.history().stream()
                        .filter(e -> e.type() == EventType.WORKER)
                        .mapToLong(e -> e.number("cpuMillis"))
                        .sum();
    }

    private static Map<String, Double> usedByTeam(ContendedCell.Run run) {
        Map<String, Double> used = new TreeMap<>();
        Map<String, HistoryEvent> running = new HashMap<>();
        for (HistoryEvent event : run.history()) {
            if (event.type() == EventType.START) {
                running.put(event.text("task"), event);
            } else if (event.type() == EventType.END) {
                HistoryEvent start = running.remove(event.text("task"));
                if (start != null) {
                    add(used, run, start, event.nanos());
                }
            }
        }
        running.values().forEach(start -> add(used, run, start, run.endedNanos()));
        return used;
    }

    private static void add(
            Map<String, Double> used, ContendedCell.Run run, HistoryEvent start, long endNanos) {
        long from = Math.max(start.nanos(), run.beganNanos() + RAMP_NANOS);
        long to = Math.min(endNanos, run.endedNanos());
        if (to > from) {
            used.merge(
                    start.text("team"),
                    (double) start.number("cpuMillis") * (to - from),
                    Double::sum);
        }
    }

    private static Map<String, Histogram> waits(ContendedCell.Run run) {
        Map<String, Long> started = new HashMap<>();
        for (HistoryEvent event : run.history()) {
            if (event.type() == EventType.START) {
                String key = event.has("job") ? task(event) : event.text("idempotencyKey");
                started.putIfAbsent(key, event.nanos());
            }
        }
        Map<String, Histogram> waits = new HashMap<>();
        for (Call call : run.calls()) {
            Long start = started.get(call.id());
            if (start != null) {
                record(waits, call.target(), start - call.plannedNanos());
            }
        }
        run.submittedNanos()
                .forEach(
                        (job, submitted) -> {
                            for (int i = 0; i < ContendedCell.JOB_TASKS; i++) {
                                Long start = started.get(job + "/" + i);
                                if (start != null) {
                                    record(waits, "batch", start - submitted);
                                }
                            }
                        });
        return waits;
    }

    private static String task(HistoryEvent event) {
        return event.text("job") + "/" + event.number("index");
    }

    private static void record(Map<String, Histogram> waits, String kind, long nanos) {
        waits.computeIfAbsent(kind, k -> new Histogram(DIGITS))
                .recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos)));
    }
}
