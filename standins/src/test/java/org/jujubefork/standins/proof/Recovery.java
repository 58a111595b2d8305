package org.jujubefork.standins.proof;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.jujubefork.standins.Flags;

/**
 * Measures recovery times and idle cost of a cell of eight entries and 30 workers several times and
 * writes median and worst to a Markdown table.
 */
public final class Recovery {
    private static final long SEED = 900;
    private static final long DEFAULT_RUNS = 3;

    private Recovery() {}

    private record Row(String what, ToDoubleFunction<RecoverySample.Result> figure) {}

    private static final List<Row> ROWS =
            List.of(
                    new Row(
                            "first placement on a killed entry's workers, ms",
                            RecoverySample.Result::takeoverMillis),
                    new Row(
                            "last of 8 entries refuses a withdrawn key, ms",
                            RecoverySample.Result::withdrawalMillis),
                    new Row(
                            "configuration in force on the last of 8 entries, ms",
                            RecoverySample.Result::changeMillis),
                    new Row(
                            "resident memory of an idle entry, MB",
                            RecoverySample.Result::residentMb),
                    new Row(
                            "processor use of an idle entry, % of a core",
                            RecoverySample.Result::cpuPercent),
                    new Row(
                            "peer traffic of an idle entry, bytes/s",
                            RecoverySample.Result::peerBytesPerSecond));

    @SuppressWarnings("SystemOut") // a command's output
    public static void main(String[] args) throws Exception {
        Flags flags = Flags.parse(args, Set.of("runs", "out"), Set.of());
        Path out = Path.of(flags.required("out"));
        long runs = flags.number("runs", DEFAULT_RUNS);
        List<RecoverySample.Result> results = new ArrayList<>();
        for (int i = 0; i < runs; i++) {
            results.add(RecoverySample.measure(SEED + i));
            System.out.println("run " + (i + 1) + ": " + results.get(i));
        }
        StringBuilder table = new StringBuilder("| figure | median | worst | runs |\n");
        table.append("|---|---|---|---|\n");
        for (Row row : ROWS) {
            double[] sorted = results.stream().mapToDouble(row.figure()).sorted().toArray();
            table.append(
                    String.format(
                            Locale.ROOT,
                            "| %s | %.1f | %.1f | %d |%n",
                            row.what(),
                            sorted[sorted.length / 2],
                            sorted[sorted.length - 1],
                            sorted.length));
        }
        Files.writeString(out, table);
        System.out.print(table);
    }
}
