package org.jujubefork.bench;

import java.util.Arrays;
import org.jujubefork.bench.workflow.LeaderBenchmark;

/** Entry point of {@code bin/jujube-bench}, which runs benchmarks and the policy report. */
public final class Bench {
    private static final int USAGE_ERROR = 2;

    private Bench() {}

    /**
     * Runs the subcommand in the first argument and exits with its status.
     *
     * @param arguments the subcommand and its flags
     * @throws Exception if a benchmark cannot be run or a report cannot be written
     */
    public static void main(String[] arguments) throws Exception {
        String command = arguments.length == 0 ? "" : arguments[0];
        String[] commandArguments = arguments.length == 0 ? arguments : withoutFirst(arguments);
        int status =
                switch (command) {
                    case "decisions" -> DecisionBenchmarkRunner.run(commandArguments);
                    case "leader" -> LeaderBenchmark.run(commandArguments);
                    case "policies" -> PolicyReport.run(commandArguments);
                    default -> usage();
                };
        System.exit(status);
    }

    private static String[] withoutFirst(String[] arguments) {
        return Arrays.copyOfRange(arguments, 1, arguments.length);
    }

    private static int usage() {
        System.err.println("usage: jujube-bench decisions [--main]");
        System.err.println(
                "       jujube-bench leader [--workers LIST] [--load FACTOR] [--slowdown FACTOR]"
                        + " [--seconds N] [--seed N]");
        System.err.println("       jujube-bench policies [--seed N] [--out FILE]");
        return USAGE_ERROR;
    }
}
