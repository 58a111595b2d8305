package org.jujubefork.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.jujubefork.core.placement.Lane;

/** Compares the default policies with baselines and writes a Markdown report. */
final class PolicyReport {
    private static final long DEFAULT_SEED = 42;
    private static final Lane[] REPORTED_LANES = {Lane.URGENT, Lane.REQUEST, Lane.GANG, Lane.BATCH};

    private PolicyReport() {}

    static int run(String[] arguments) throws IOException {
        long seed = DEFAULT_SEED;
        Path out = null;
        for (int i = 0; i + 1 < arguments.length; i += 2) {
            switch (arguments[i]) {
                case "--seed" -> seed = Long.parseLong(arguments[i + 1]);
                case "--out" -> out = Path.of(arguments[i + 1]);
                default -> throw new IllegalArgumentException("unknown flag: " + arguments[i]);
            }
        }
        String report = report(seed);
        if (out == null) {
            System.out.print(report);
        } else {
            Files.writeString(out, report);
        }
        return 0;
    }

    /** Returns the report for {@code seed}; the same seed gives the same report. */
    static String report(long seed) {
        StringBuilder text = new StringBuilder("# Policies compared\n\n");
        text.append("`jujube-bench policies --seed ").append(seed).append("`: six teams, 30");
        text.append(" workers, three shards, a full fleet, virtual clock. Waiting times are p50 /");
        text.append(" p99 in ms and include work that still waits at the end. Distances are in");
        text.append(" points of the used capacity, by team in the order of the weights. All");
        text.append(" policies keep the lanes and the reserve for urgent requests.\n");
        for (Workload workload : new Workload[] {Workload.PLOTSHARE, Workload.ALPENQUELL}) {
            text.append("\n## ").append(workload.name()).append(", weights ");
            text.append(workload.weights()).append("\n\n");
            text.append("| policy | mean distance | distance by team | urgent | lookup | gang |");
            text.append(
                    " batch | packing % | preempted |\n|---|---|---|---|---|---|---|---|---|\n");
            for (PolicyVariant variant : PolicyVariant.ALL) {
                PolicyMetrics metrics = new PolicySimulation(workload, variant, seed).run();
                text.append(tableRow(workload, variant, metrics));
            }
        }
        return text.toString();
    }

    private static String tableRow(
            Workload workload, PolicyVariant variant, PolicyMetrics metrics) {
        StringBuilder row = new StringBuilder("| ").append(variant.name()).append(" | ");
        row.append(String.format(Locale.ROOT, "%.1f | ", metrics.meanAbsoluteDeviationPoints()));
        for (int i = 0; i < workload.weights().size(); i++) {
            row.append(String.format(Locale.ROOT, "%+.1f ", metrics.shareDeviationPoints(i)));
        }
        for (Lane lane : REPORTED_LANES) {
            row.append(
                    String.format(
                            Locale.ROOT,
                            "| %d / %d ",
                            metrics.waitPercentileMillis(lane, 50),
                            metrics.waitPercentileMillis(lane, 99)));
        }
        row.append(String.format(Locale.ROOT, "| %.1f ", metrics.packingPercent()));
        return row.append("| ").append(metrics.preemptions()).append(" |\n").toString();
    }
}
