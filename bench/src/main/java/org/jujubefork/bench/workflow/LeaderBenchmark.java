package org.jujubefork.bench.workflow;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.jujubefork.core.workflow.SchedulingPolicies;

/** The command that runs the emulator at several sizes of the fleet and prints the reports. */
public final class LeaderBenchmark {
    private static final int USAGE_ERROR = 2;

    private LeaderBenchmark() {}

    /**
     * Runs the command.
     *
     * @param arguments its flags
     * @return the exit status
     */
    public static int run(String[] arguments) {
        Options options =
                new Options()
                        .addOption(option("workers", "LIST", "numbers of workers, 33,258,1104"))
                        .addOption(option("workers-per-entry", "N", "5 unless given"))
                        .addOption(option("load", "FACTOR", "factor of the load, 1 unless given"))
                        .addOption(option("slowdown", "FACTOR", "factor of the reducer's time, 0"))
                        .addOption(option("seconds", "N", "simulated time, 30 unless given"))
                        .addOption(option("order", "NAME", "order of waiting work, the default"))
                        .addOption(option("share", "NAME", "share of teams, the default"))
                        .addOption(option("durations", "NAME", "duration model, the default"))
                        .addOption(option("retry", "NAME", "retry delay, the default"))
                        .addOption(option("seed", "N", "seed of the load, 1 unless given"));
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            double workersPerEntry =
                    Double.parseDouble(line.getOptionValue("workers-per-entry", "5"));
            for (String count : line.getOptionValue("workers", "33,258,1104").split(",")) {
                int workers = Integer.parseInt(count);
                LeaderReport report =
                        LeaderEmulator.run(
                                new LeaderEmulator.Setup(
                                        Long.parseLong(line.getOptionValue("seed", "1")),
                                        workers,
                                        (int) Math.max(1, Math.round(workers / workersPerEntry)),
                                        JobKind.WAITING_LIST,
                                        Double.parseDouble(line.getOptionValue("load", "1")),
                                        Double.parseDouble(line.getOptionValue("slowdown", "0")),
                                        Integer.parseInt(line.getOptionValue("seconds", "30")),
                                        policies(line)));
                report.lines().forEach(System.out::println);
                System.out.println();
            }
            return 0;
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println("error: " + e.getMessage());
            return USAGE_ERROR;
        }
    }

    private static SchedulingPolicies policies(CommandLine line) {
        return SchedulingPolicies.named(
                line.getOptionValue("order", SchedulingPolicies.DEFAULT_ORDER),
                line.getOptionValue("share", SchedulingPolicies.DEFAULT_SHARE),
                line.getOptionValue("durations", SchedulingPolicies.DEFAULT_DURATIONS),
                line.getOptionValue("retry", SchedulingPolicies.DEFAULT_RETRY));
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }
}
