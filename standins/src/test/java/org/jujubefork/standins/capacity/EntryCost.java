package org.jujubefork.standins.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jujubefork.standins.cell.EntryVm;
import org.jujubefork.standins.cell.TestCell;

/**
 * What one entry uses, as the mean over all entries of a cell.
 *
 * @param residentMb resident memory in MiB, the highest of all entries
 * @param cpuPercent processor time as a percentage of one core
 * @param worstCpuPercent the same of the entry with the highest figure
 * @param peerBytes bytes sent to other entries per second
 * @param remoteBytes the part of them sent to other regions
 * @param written bytes per second written to sockets and to the log
 * @param read bytes per second read from sockets
 * @param storeCalls calls to the store per second
 */
record EntryCost(
        double residentMb,
        double cpuPercent,
        double worstCpuPercent,
        double peerBytes,
        double remoteBytes,
        double written,
        double read,
        double storeCalls) {
    /** Clock ticks per second in /proc/PID/stat, which Linux fixes for programs. */
    private static final double TICKS_PER_SECOND = 100;

    private static final double KIB_PER_MIB = 1_024;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Counters of one entry, which only grow. */
    private record Sample(
            long nanos,
            double ticks,
            double peerBytes,
            double remoteBytes,
            double written,
            double read,
            double storeCalls) {
        /** Takes a sample; {@code pageFirst} reads the metrics before the other counters. */
        static Sample of(TestCell cell, EntryVm entry, boolean pageFirst) throws Exception {
            Path proc = Path.of("/proc/" + entry.process().pid());
            String early = pageFirst ? cell.metrics(entry) : "";
            long nanos = System.nanoTime();
            double ticks = processorTicks(proc);
            double written = field(proc.resolve("io"), "wchar:");
            double read = field(proc.resolve("io"), "rchar:");
            String metrics = pageFirst ? early : cell.metrics(entry);
            return new Sample(
                    nanos,
                    ticks,
                    sum(metrics, "jujube_peer_bytes_total", ""),
                    sum(metrics, "jujube_peer_bytes_total", "distance=\"other-region\""),
                    written,
                    read,
                    sum(metrics, "jujube_store_calls_total", ""));
        }
    }

    /** Watches all entries of a cell for {@code time}. */
    static EntryCost measure(TestCell cell, Duration time) throws Exception {
        // The page of metrics itself is not part of the cost: read before the first counters and
        // after the last ones.
        List<Sample> before = samples(cell, true);
        Thread.sleep(time);
        List<Sample> after = samples(cell, false);
        double resident = 0;
        double[] sums = new double[6];
        double worst = 0;
        for (int i = 0; i < before.size(); i++) {
            Sample a = before.get(i);
            Sample b = after.get(i);
            double seconds = (b.nanos() - a.nanos()) / NANOS_PER_SECOND;
            double cpu = 100 * (b.ticks() - a.ticks()) / TICKS_PER_SECOND / seconds;
            worst = Math.max(worst, cpu);
            sums[0] += cpu;
            sums[1] += (b.peerBytes() - a.peerBytes()) / seconds;
            sums[2] += (b.remoteBytes() - a.remoteBytes()) / seconds;
            sums[3] += (b.written() - a.written()) / seconds;
            sums[4] += (b.read() - a.read()) / seconds;
            sums[5] += (b.storeCalls() - a.storeCalls()) / seconds;
            Path proc = Path.of("/proc/" + cell.entry(i).process().pid());
            resident = Math.max(resident, field(proc.resolve("status"), "VmRSS:") / KIB_PER_MIB);
        }
        int n = before.size();
        return new EntryCost(
                resident,
                sums[0] / n,
                worst,
                sums[1] / n,
                sums[2] / n,
                sums[3] / n,
                sums[4] / n,
                sums[5] / n);
    }

    private static List<Sample> samples(TestCell cell, boolean pageFirst) throws Exception {
        List<Sample> result = new ArrayList<>();
        for (EntryVm entry : cell.entries()) {
            result.add(Sample.of(cell, entry, pageFirst));
        }
        return result;
    }

    private static double processorTicks(Path proc) throws IOException {
        String stat = Files.readString(proc.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        return Double.parseDouble(fields[11]) + Double.parseDouble(fields[12]);
    }

    private static double field(Path file, String name) throws IOException {
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(name)) {
                return Double.parseDouble(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("no " + name + " in " + file);
    }

    static double sum(String metrics, String name, String label) {
        return metrics.lines()
                .filter(l -> l.startsWith(name) && l.contains(label))
                .mapToDouble(l -> Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
                .sum();
    }
}
