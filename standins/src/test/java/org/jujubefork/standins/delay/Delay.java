package org.jujubefork.standins.delay;

import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Set;
import org.jujubefork.standins.Flags;

/** Writes the report of the scheduler's delay, of shares and of waiting times. */
public final class Delay {
    private Delay() {}

    public static void main(String[] args) throws Exception {
        Flags flags = Flags.parse(args, Set.of("out", "only", "note"), Set.of());
        Path out = Path.of(flags.required("out"));
        String only = flags.text("only").orElse("lookups,contention");
        double before = load();
        StringBuilder report = new StringBuilder();
        if (only.contains("lookups")) {
            report.append('\n').append(LookupReport.measure());
        }
        if (only.contains("contention")) {
            report.append('\n').append(ContentionReport.measure());
        }
        Files.writeString(
                out,
                String.format(
                                Locale.ROOT,
                                "# Delay, shares and waiting times%n%n`bin/jujube-delay`: real"
                                        + " processes on loopback addresses of one machine of %d"
                                        + " processors, load average %.1f at the start and %.1f at"
                                        + " the end. %s%n",
                                Runtime.getRuntime().availableProcessors(),
                                before,
                                load(),
                                flags.text("note").orElse(""))
                        + report);
    }

    private static double load() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }
}
