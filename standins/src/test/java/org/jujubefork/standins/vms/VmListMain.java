package org.jujubefork.standins.vms;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import org.jujubefork.standins.Flags;
import org.jujubefork.standins.StandinProcess;
import org.jujubefork.standins.fleet.FleetFile;

/** Runs the VM list as a process until it is killed. */
public final class VmListMain {
    private static final long DEFAULT_LAG_MILLIS = 1_000;

    private VmListMain() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        Flags flags = Flags.parse(args, Set.of("fleet", "port", "lag-millis"), Set.of());
        FleetFile file = FleetFile.read(Path.of(flags.required("fleet")));
        Duration lag = Duration.ofMillis(flags.number("lag-millis", DEFAULT_LAG_MILLIS));
        try (VmList list = VmList.start((int) flags.number("port", 0), lag, file)) {
            StandinProcess.runUntilKilled("vm-list", list.port());
        }
    }
}
