package org.jujubefork.standins.capacity;

import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.JobRequest;
import org.jujubefork.core.model.Resources;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.Flags;
import org.jujubefork.standins.cell.EntryVm;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;

/**
 * Measures what an entry costs by entries, workers and running tasks, and writes the points and the
 * least-squares slopes to a Markdown file.
 */
public final class Capacity {
    private static final int ZONES = 3;
    private static final int SLOTS = 8;
    private static final int FEW_ENTRIES = 3;
    private static final int FEW_WORKERS = 30;
    private static final int TASK_WORKERS = 120;

    /**
     * A multiple of the renewal interval of 10 s; other times see one round too many or too few.
     */
    private static final long DEFAULT_SECONDS = 20;

    private static final long RUN_MILLIS = 3_600_000;
    private static final long DEFAULT_SETTLE_SECONDS = 8;
    private static final String DEFAULT_ENTRIES = "3,5,8,12,16";
    private static final String DEFAULT_WORKERS = "30,120,300,600";
    private static final String DEFAULT_TASKS = "0,500,1000,2000";
    private static final String DEFAULT_RECORDS = "0,1100,2200";

    /** Small enough that each worker of 8 cores holds its part of the tasks. */
    private static final Resources TASK = Resources.of(200, 256, 0);

    private static final Set<String> OPTIONS =
            Set.of(
                    "out",
                    "seconds",
                    "settle",
                    "entries",
                    "workers",
                    "tasks",
                    "records",
                    "task-workers",
                    "only",
                    "entry-flags");

    private static final List<Figure> FIGURES =
            List.of(
                    new Figure("memory, MiB", EntryCost::residentMb),
                    new Figure("cpu, %", EntryCost::cpuPercent),
                    new Figure("worst cpu, %", EntryCost::worstCpuPercent),
                    new Figure("to peers, B/s", EntryCost::peerBytes),
                    new Figure("to other regions, B/s", EntryCost::remoteBytes),
                    new Figure("written, B/s", EntryCost::written),
                    new Figure("read, B/s", EntryCost::read),
                    new Figure("store calls/s", EntryCost::storeCalls));

    private final Duration settle;
    private final Duration time;
    private final StringBuilder report = new StringBuilder();

    private Capacity(Duration settle, Duration time) {
        this.settle = settle;
        this.time = time;
    }

    private record Figure(String name, ToDoubleFunction<EntryCost> of) {}

    /** A measured cost at {@code size} entries, workers or tasks. */
    private record Point(int size, EntryCost cost, double load) {}

    public static void main(String[] args) throws Exception {
        Flags flags = Flags.parse(args, OPTIONS, Set.of());
        Path out = Path.of(flags.required("out"));
        Capacity capacity =
                new Capacity(
                        Duration.ofSeconds(flags.number("settle", DEFAULT_SETTLE_SECONDS)),
                        Duration.ofSeconds(flags.number("seconds", DEFAULT_SECONDS)));
        flags.text("entry-flags").ifPresent(f -> System.setProperty(EntryVm.JVM_FLAGS_PROPERTY, f));
        int taskWorkers = (int) flags.number("task-workers", TASK_WORKERS);
        String only = flags.text("only").orElse("entries,workers,tasks,records");
        if (only.contains("entries")) {
            capacity.byEntries(flags.text("entries").orElse(DEFAULT_ENTRIES));
            Files.writeString(out, capacity.report);
        }
        if (only.contains("workers")) {
            capacity.byWorkers(flags.text("workers").orElse(DEFAULT_WORKERS));
            Files.writeString(out, capacity.report);
        }
        if (only.contains("tasks")) {
            capacity.byTasks(flags.text("tasks").orElse(DEFAULT_TASKS), taskWorkers);
            Files.writeString(out, capacity.report);
        }
        if (only.contains("records")) {
            capacity.byRecords(flags.text("records").orElse(DEFAULT_RECORDS), taskWorkers);
            Files.writeString(out, capacity.report);
        }
    }

    private void byEntries(String sizes) throws Exception {
        List<Point> points = new ArrayList<>();
        for (int entries : sizes(sizes)) {
            try (TestCell cell = start(entries, FEW_WORKERS)) {
                points.add(point(cell, entries));
            }
        }
        write("entries", points);
    }

    private void byWorkers(String sizes) throws Exception {
        List<Point> points = new ArrayList<>();
        for (int workers : sizes(sizes)) {
            try (TestCell cell = start(FEW_ENTRIES, workers)) {
                points.add(point(cell, workers));
            }
        }
        write("workers", points);
    }

    private void byTasks(String sizes, int workers) throws Exception {
        List<Point> points = new ArrayList<>();
        try (TestCell cell = start(FEW_ENTRIES, workers)) {
            int running = 0;
            for (int tasks : sizes(sizes)) {
                if (tasks > running) {
                    submit(cell, tasks - running, RUN_MILLIS);
                    running = tasks;
                    awaitTasks(cell, tasks);
                }
                points.add(point(cell, tasks));
            }
        }
        write("tasks", points);
    }

    /** By records of ended jobs, of which each entry holds all. */
    private void byRecords(String sizes, int workers) throws Exception {
        List<Point> points = new ArrayList<>();
        try (TestCell cell = start(FEW_ENTRIES, workers)) {
            int submitted = 0;
            for (int records : sizes(sizes)) {
                for (; submitted < records; submitted++) {
                    submit(cell, 1, 0);
                }
                points.add(point(cell, records));
            }
        }
        write("job records", points);
    }

    private static int[] sizes(String list) {
        return Arrays.stream(list.split(",", -1)).mapToInt(Integer::parseInt).toArray();
    }

    private static TestCell start(int entries, int workers) throws Exception {
        return TestCell.start(
                SmallCell.of(entries).workers(ZONES, workers / ZONES, SLOTS).taskSize(TASK).plan());
    }

    private static void submit(TestCell cell, int tasks, long runMillis) throws Exception {
        try (ApiClient client = cell.client(0, Optional.of(SmallCell.key("red")))) {
            client.submit(
                    new JobRequest(
                            "red-batch",
                            "capacity",
                            tasks,
                            Optional.empty(),
                            "{\"runMillis\":" + runMillis + "}",
                            Optional.of("capacity-" + tasks + "-" + System.nanoTime())));
        }
    }

    private static void awaitTasks(TestCell cell, int tasks) throws Exception {
        Await.until(
                tasks + " running tasks",
                () -> {
                    Thread.sleep(200);
                    double placed = 0;
                    for (EntryVm entry : cell.entries()) {
                        placed += EntryCost.sum(cell.metrics(entry), "jujube_shard_tasks", "");
                    }
                    return placed >= tasks;
                });
    }

    @SuppressWarnings("SystemOut") // a command's output
    private Point point(TestCell cell, int size) throws Exception {
        Thread.sleep(settle);
        EntryCost cost = EntryCost.measure(cell, time);
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        System.out.println(size + ": " + cost + " load " + load);
        return new Point(size, cost, load);
    }

    @SuppressWarnings("SystemOut") // a command's output
    private void write(String what, List<Point> points) {
        StringBuilder table = new StringBuilder("\n| " + what);
        FIGURES.forEach(f -> table.append(" | ").append(f.name()));
        table.append(" | load of the machine |\n|---").append("|---".repeat(FIGURES.size() + 1));
        table.append("|\n");
        for (Point point : points) {
            table.append("| ").append(point.size());
            for (Figure figure : FIGURES) {
                table.append(format(" | %.2f", figure.of().applyAsDouble(point.cost())));
            }
            table.append(format(" | %.1f |%n", point.load()));
        }
        table.append("| slope per unit");
        for (Figure figure : FIGURES) {
            table.append(format(" | %.5f", slope(points, figure.of())));
        }
        table.append(" | |\n");
        System.out.print(table);
        report.append(table);
    }

    private static String format(String pattern, double value) {
        return String.format(Locale.ROOT, pattern, value);
    }

    /** Returns the least-squares slope of a figure over the size. */
    private static double slope(List<Point> points, ToDoubleFunction<EntryCost> figure) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double mean =
                points.stream()
                        .mapToDouble(p -> figure.applyAsDouble(p.cost()))
                        .average()
                        .orElse(0);
        double above = 0;
        double below = 0;
        for (Point point : points) {
            double offset = point.size() - meanSize;
            above += offset * (figure.applyAsDouble(point.cost()) - mean);
            below += offset * offset;
        }
        return above / below;
    }
}
