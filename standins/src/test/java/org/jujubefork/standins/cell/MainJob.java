package org.jujubefork.standins.cell;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.jujubefork.standins.Flags;

/**
 * Runs the deployments of {@code examples} with simulated services on loopback addresses, replays
 * their recorded requests and checks the histories. Exits with 1 if a checker fails.
 */
@SuppressWarnings("SystemOut") // command-line output
public final class MainJob {
    private MainJob() {}

    public static void main(String[] args) throws Exception {
        Flags flags =
                Flags.parse(args, Set.of("deployment", "speed", "examples"), Set.of("kill-entry"));
        Path examples = Path.of(flags.text("examples").orElse("examples"));
        double speed = Double.parseDouble(flags.text("speed").orElse("1"));
        boolean failed = false;
        for (String name :
                flags.text("deployment").map(List::of).orElse(List.of("plotshare", "alpenquell"))) {
            failed |= run(name, examples.resolve(name), speed, flags.isSet("kill-entry"));
        }
        System.exit(failed ? 1 : 0);
    }

    private static boolean run(String name, Path folder, double speed, boolean killEntry)
            throws Exception {
        ExampleCell example = ExampleCell.read(folder);
        System.out.println("deployment " + name + ": starting simulated services and entries");
        try (TestCell cell = TestCell.start(example.plan())) {
            System.out.println(
                    "configuration applied, every worker holds a lease; replaying requests");
            Replay replay = new Replay(cell, example);
            replay.run(speed, killEntry ? () -> killSecondEntry(cell) : () -> {});
            ReplayReport report = ReplayReport.of(example, replay, cell.fleetHistory());
            report.lines().forEach(System.out::println);
            System.out.println(
                    "deployment " + name + ": " + (report.failed() ? "FAILED" : "passed"));
            return report.failed();
        }
    }

    /**
     * Kills the second entry. The first one stays alive because the replay asks it first for the
     * state of the jobs.
     */
    private static void killSecondEntry(TestCell cell) {
        try {
            EntryVm entry = cell.entry(1);
            System.out.println("killing entry " + entry.name());
            entry.kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
