package org.jujubefork.standins.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.standins.Flags;
import org.jujubefork.standins.StandinProcess;
import org.jujubefork.standins.history.HistorySink;
import org.jujubefork.standins.history.HistoryWriter;

/** Runs a fleet of workers as a process until it is killed. */
public final class WorkerFleetMain {
    private WorkerFleetMain() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        Flags flags =
                Flags.parse(
                        args,
                        Set.of("fleet", "history", "control-port", "usage-lag-millis"),
                        Set.of("enforce-capacity", "ignore-epochs"));
        FleetOptions options =
                new FleetOptions(
                        (int) flags.number("control-port", 0),
                        Duration.ofMillis(
                                flags.number(
                                        "usage-lag-millis",
                                        FleetOptions.DEFAULT_USAGE_LAG.toMillis())),
                        flags.isSet("enforce-capacity"),
                        flags.isSet("ignore-epochs"));
        Optional<String> file = flags.text("history");
        HistorySink sink =
                file.isPresent() ? HistoryWriter.append(Path.of(file.get())) : HistorySink.NONE;
        FleetFile fleetFile = FleetFile.read(Path.of(flags.required("fleet")));
        try (WorkerFleet fleet = WorkerFleet.start(fleetFile, options, sink)) {
            StandinProcess.runUntilKilled("fleet", fleet.controlPort());
        }
    }
}
