package org.jujubefork.standins.delay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jujubefork.standins.cell.EntryVm;

/** Measures lookups in a cell without other work: delay, queueing and bytes between entries. */
final class LookupReport {
    private static final int SECONDS_AT_ONE = 20;
    private static final double BLOCK_SECONDS = 1;
    private static final int ROUNDS = 5;
    private static final int WARM_UP_RATE = 500;
    private static final int WARM_UP_ROUNDS = 3;
    private static final int COUNTED = 200;
    private static final int COUNTED_RATE = 100;
    private static final long WORK_MILLIS = 40;
    private static final double STEP_SECONDS = 1.5;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final OpenLoop loop = new OpenLoop();
    private final LookupCell cell;
    private final StringBuilder report = new StringBuilder();

    private LookupReport(LookupCell cell) {
        this.cell = cell;
    }

    /** Measures and returns the sections of the report. */
    static String measure() throws Exception {
        try (LookupCell cell = LookupCell.start()) {
            LookupReport result = new LookupReport(cell);
            result.delay();
            result.queueing();
            result.bytes();
            return result.report.toString();
        }
    }

    private void delay() throws Exception {
        List<Target> targets =
                List.of(cell.direct(0), cell.owned(0), cell.forwarded(0), cell.otherRegion(0));
        loop.run(OpenLoop.blocks("warm", targets, WARM_UP_RATE, BLOCK_SECONDS, WARM_UP_ROUNDS));
        line("## Delay of a lookup\n");
        line(
                "A lookup without run time and with "
                        + LookupCell.ANSWER_BYTES
                        + " bytes of answer, against a direct call to the same simulated worker."
                        + " Milliseconds, p50 / p99, from the planned send. Ratio and difference"
                        + " are those of the percentiles, against the direct call.\n");
        line("| requests/s | route | latency | ratio | difference | n | not answered |");
        line("|---|---|---|---|---|---|---|");
        rate(1, OpenLoop.staggered("d1", targets, 1, SECONDS_AT_ONE), targets);
        for (int rate : new int[] {100, 1_000}) {
            rate(rate, OpenLoop.blocks("d" + rate, targets, rate, BLOCK_SECONDS, ROUNDS), targets);
        }
    }

    private void rate(int rate, List<OpenLoop.Send> sends, List<Target> targets) throws Exception {
        List<Call> calls = loop.run(sends);
        Latency direct = Latency.of(calls, targets.get(0).name());
        for (Target target : targets) {
            Latency latency = Latency.of(calls, target.name());
            line(
                    format(
                            "| %d | %s | %s | %.2f / %.2f | %.2f / %.2f | %d | %d |",
                            rate,
                            target.name(),
                            latency.text(),
                            latency.millis(50) / direct.millis(50),
                            latency.millis(99) / direct.millis(99),
                            latency.millis(50) - direct.millis(50),
                            latency.millis(99) - direct.millis(99),
                            latency.count(),
                            latency.notAnswered()));
        }
    }

    private void queueing() throws Exception {
        line("\n## Throughput at which queueing begins\n");
        line(
                "Steps of "
                        + STEP_SECONDS
                        + " s through the owner of a shard of one worker, each after a step of"
                        + " direct calls at the same rate to the worker of the other region."
                        + " Queueing has begun when the median is twice that of the first step, or"
                        + " when a request is not answered.\n");
        ladder(0, "Without run time no slot is held, so that the scheduler is the limit");
        double slots = LookupCell.SLOTS * MILLIS_PER_SECOND / WORK_MILLIS;
        ladder(
                WORK_MILLIS,
                format(
                        "With %d ms of run time, the %d slots of the worker carry %.0f requests/s,"
                                + " and those of both regions twice as many",
                        WORK_MILLIS, LookupCell.SLOTS, slots));
    }

    private void ladder(long runMillis, String capacity) throws Exception {
        int[] rates =
                runMillis == 0
                        ? new int[] {250, 500, 1_000, 1_500, 2_000, 3_000, 4_000, 5_000, 6_000}
                        : new int[] {200, 400, 600, 700, 800, 900, 1_000, 1_200, 1_600, 2_000};
        line("\n" + capacity + ".\n");
        line("| requests/s | owner, ms p50 / p99 | not answered | direct, ms p50 / p99 | not |");
        line("|---|---|---|---|---|");
        List<Target> targets = List.of(cell.directElsewhere(runMillis), cell.owned(runMillis));
        double first = 0;
        double firstDirect = 0;
        for (int rate : rates) {
            List<Call> calls =
                    loop.run(
                            OpenLoop.blocks(
                                    "q" + runMillis + "-" + rate, targets, rate, STEP_SECONDS, 1));
            Latency direct = Latency.of(calls, targets.get(0).name());
            Latency owner = Latency.of(calls, targets.get(1).name());
            line(
                    format(
                            "| %d | %s | %d | %s | %d |",
                            rate,
                            owner.text(),
                            owner.notAnswered(),
                            direct.text(),
                            direct.notAnswered()));
            first = first == 0 ? owner.millis(50) : first;
            firstDirect = firstDirect == 0 ? direct.millis(50) : firstDirect;
            if (owner.millis(50) >= 2 * first || owner.notAnswered() > 0) {
                boolean slower = direct.millis(50) >= 2 * firstDirect;
                line(
                        format(
                                "\nQueueing begins at the step of %d requests/s; the limit is %s.",
                                rate, limit(rate, runMillis, slower)));
                return;
            }
        }
        line("\nQueueing did not begin up to the last step.");
    }

    private static String limit(int rate, long runMillis, boolean directSlower) {
        if (rate * runMillis >= LookupCell.SLOTS * MILLIS_PER_SECOND) {
            return "the number of the worker's slots";
        }
        return directSlower
                ? "not the scheduler alone, because direct calls have slowed as well"
                : "the scheduler, because direct calls have not slowed";
    }

    private void bytes() throws Exception {
        line("\n## Bytes between entries per lookup\n");
        line(
                format(
                        "Means of %d lookups at %d/s with answers of %d bytes and their JSON frame,"
                                + " from the metric of bytes sent; gossip is not included.\n",
                        COUNTED, COUNTED_RATE, LookupCell.ANSWER_BYTES));
        line("| route | all | to other regions |");
        line("|---|---|---|");
        for (Target target : List.of(cell.owned(0), cell.forwarded(0), cell.otherRegion(0))) {
            double[] before = sent();
            loop.run(
                    OpenLoop.staggered(
                            "b-" + target.name().replace(' ', '-'),
                            List.of(target),
                            COUNTED_RATE,
                            COUNTED));
            double[] after = sent();
            line(
                    format(
                            "| %s | %.0f | %.0f |",
                            target.name(),
                            (after[0] - before[0]) / COUNTED,
                            (after[1] - before[1]) / COUNTED));
        }
    }

    /** Returns the bytes that entries sent for requests: all, and those to other regions. */
    private double[] sent() throws Exception {
        double[] sums = new double[2];
        for (EntryVm entry : cell.cell().entries()) {
            List<String> lines = new ArrayList<>();
            cell.cell()
                    .metrics(entry)
                    .lines()
                    .filter(l -> l.startsWith("jujube_peer_bytes_total"))
                    .filter(l -> l.contains("purpose=\"request\""))
                    .forEach(lines::add);
            for (String metric : lines) {
                double bytes = Double.parseDouble(metric.substring(metric.lastIndexOf(' ') + 1));
                sums[0] += bytes;
                sums[1] += metric.contains("distance=\"other-region\"") ? bytes : 0;
            }
        }
        return sums;
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }

    @SuppressWarnings("SystemOut") // a command's output
    private void line(String text) {
        System.out.println(text);
        report.append(text).append('\n');
    }
}
