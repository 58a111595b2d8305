package org.jujubefork.bench;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Runs {@link DecisionBenchmark} and prints one line per benchmark and cell size. */
final class DecisionBenchmarkRunner {
    private static final double MICROS_PER_SECOND = 1_000_000;

    /**
     * The size of a simulated cell.
     *
     * @param workers number of workers
     * @param tasks number of running tasks
     * @param teams number of teams
     * @param shards number of shards, of which the benchmarked entry owns one
     */
    private record CellSize(int workers, int tasks, int teams, int shards) {}

    private static final CellSize[] CELL_SIZES = {
        new CellSize(1_100, 11_000, 36, 1),
        new CellSize(1_100, 11_000, 36, 7),
        new CellSize(100, 1_000, 36, 1),
        new CellSize(400, 4_000, 36, 1),
        new CellSize(700, 7_000, 36, 1),
        new CellSize(1_100, 3_300, 36, 1),
        new CellSize(1_100, 6_600, 36, 1),
        new CellSize(1_100, 11_000, 6, 1),
        new CellSize(1_100, 11_000, 18, 1),
    };

    private DecisionBenchmarkRunner() {}

    static int run(String[] arguments) throws RunnerException {
        int sizeCount =
                arguments.length > 0 && arguments[0].equals("--main") ? 2 : CELL_SIZES.length;
        System.out.println(
                "benchmark workers tasks teams shards ops/s mean_us p50_us p99_us max_us bytes/op");
        for (int i = 0; i < sizeCount; i++) {
            CellSize size = CELL_SIZES[i];
            for (RunResult result : new Runner(options(size)).run()) {
                print(size, result);
            }
        }
        return 0;
    }

    private static Options options(CellSize size) {
        return new OptionsBuilder()
                .include(DecisionBenchmark.class.getName())
                .param("workers", String.valueOf(size.workers()))
                .param("tasks", String.valueOf(size.tasks()))
                .param("teams", String.valueOf(size.teams()))
                .param("shards", String.valueOf(size.shards()))
                .mode(Mode.SampleTime)
                .timeUnit(TimeUnit.MICROSECONDS)
                .addProfiler(GCProfiler.class)
                .threads(1)
                .forks(1)
                .warmupIterations(2)
                .warmupTime(TimeValue.seconds(1))
                .measurementIterations(3)
                .measurementTime(TimeValue.seconds(1))
                .jvmArgs("-Xmx2g")
                .verbosity(VerboseMode.SILENT)
                .build();
    }

    private static void print(CellSize size, RunResult result) {
        Result<?> primary = result.getPrimaryResult();
        double meanMicros = primary.getScore();
        double bytesPerOperation =
                result.getSecondaryResults().entrySet().stream()
                        .filter(e -> e.getKey().endsWith("gc.alloc.rate.norm"))
                        .map(e -> e.getValue().getScore())
                        .findFirst()
                        .orElse(Double.NaN);
        System.out.printf(
                Locale.ROOT,
                "%s %d %d %d %d %.0f %.1f %.1f %.1f %.1f %.0f%n",
                shortName(result.getParams().getBenchmark()),
                size.workers(),
                size.tasks(),
                size.teams(),
                size.shards(),
                MICROS_PER_SECOND / meanMicros,
                meanMicros,
                primary.getStatistics().getPercentile(50),
                primary.getStatistics().getPercentile(99),
                primary.getStatistics().getMax(),
                bytesPerOperation);
    }

    private static String shortName(String benchmark) {
        return benchmark.substring(benchmark.lastIndexOf('.') + 1);
    }
}
