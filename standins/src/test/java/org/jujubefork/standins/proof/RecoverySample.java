package org.jujubefork.standins.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.NotReachableException;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.cell.Caller;
import org.jujubefork.standins.cell.CellPlan;
import org.jujubefork.standins.cell.EntryVm;
import org.jujubefork.standins.cell.LoadGenerator;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.history.EventType;

/** Measures times and costs of one cell of eight entries and 30 workers. */
final class RecoverySample {
    private static final int ENTRIES = 8;
    private static final int ZONES = 3;
    private static final int WORKERS_PER_ZONE = 10;
    private static final int SLOTS = 8;
    private static final int PER_SECOND = 50;
    private static final Duration IDLE = Duration.ofSeconds(20);
    private static final Duration SETTLE = Duration.ofSeconds(5);

    /** Clock ticks per second in /proc/PID/stat, which Linux fixes for programs. */
    private static final double TICKS_PER_SECOND = 100;

    private RecoverySample() {}

    /** What was measured; the first three in milliseconds, the others the worst entry's. */
    record Result(
            double takeoverMillis,
            double withdrawalMillis,
            double changeMillis,
            double residentMb,
            double cpuPercent,
            double peerBytesPerSecond) {}

    static Result measure(long seed) throws Exception {
        CellPlan plan = SmallCell.of(ENTRIES).workers(ZONES, WORKERS_PER_ZONE, SLOTS).plan();
        try (TestCell cell = TestCell.start(plan)) {
            Thread.sleep(SETTLE);
            Idle idle = Idle.measure(cell);
            double change = change(cell);
            double takeover = takeover(cell, seed);
            double withdrawal = withdrawal(cell);
            return new Result(
                    takeover,
                    withdrawal,
                    change,
                    idle.residentMb(),
                    idle.cpuPercent(),
                    idle.peerBytesPerSecond());
        }
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1e6;
    }

    private static double change(TestCell cell) throws Exception {
        long began = System.nanoTime();
        long version =
                cell.apply(1, ConfigurationTexts.withWeight(cell.plan().configuration(), "red", 2))
                        .version();
        for (EntryVm entry : cell.entries()) {
            Await.until("version on " + entry.name(), () -> version(cell, entry) >= version);
        }
        return millisSince(began);
    }

    private static long version(TestCell cell, EntryVm entry) throws Exception {
        try (ApiClient client = cell.clientFor(entry, Optional.of(SmallCell.OPERATOR_KEY))) {
            return client.configuration().version();
        } catch (ApiException | NotReachableException e) {
            return 0;
        }
    }

    private static double takeover(TestCell cell, long seed) throws Exception {
        try (LoadGenerator load =
                LoadGenerator.start(cell, PER_SECOND, seed, TakeoverTest::mixed)) {
            Thread.sleep(1_000);
            EntryVm owner = cell.ownerOf("z1-w1");
            long killed = System.nanoTime();
            owner.kill();
            Await.until("takeover", () -> firstStart(cell, owner, killed) > 0);
            double millis = (firstStart(cell, owner, killed) - killed) / 1e6;
            load.stop();
            owner.start();
            owner.awaitReady();
            Thread.sleep(SETTLE);
            return millis;
        }
    }

    private static long firstStart(TestCell cell, EntryVm owner, long after) throws IOException {
        return cell.fleetHistory().stream()
                .filter(e -> e.type() == EventType.START && e.nanos() > after)
                .filter(e -> e.text("worker").startsWith("z1-"))
                .filter(e -> !e.text("holder").startsWith(owner.name() + "#"))
                .mapToLong(e -> e.nanos())
                .findFirst()
                .orElse(0);
    }

    /** Returns the time until every entry refuses a key, from the call that withdraws it. */
    private static double withdrawal(TestCell cell) throws Exception {
        Caller once = Caller.withoutRetries(Duration.ofSeconds(3));
        String text = ConfigurationTexts.withoutKeyOf(cell.plan().configuration(), "red");
        long began = System.nanoTime();
        Thread operator =
                Thread.ofVirtual()
                        .start(
                                () -> {
                                    try {
                                        cell.apply(2, text);
                                    } catch (Exception e) {
                                        throw new IllegalStateException(e);
                                    }
                                });
        List<EntryVm> accepting = new ArrayList<>(cell.entries());
        for (int i = 0; !accepting.isEmpty(); i++) {
            if (millisSince(began) > TimeUnit.SECONDS.toMillis(30)) {
                throw new AssertionError("a withdrawn key works after 30 s");
            }
            String id = "w" + i;
            accepting.removeIf(entry -> !accepts(once, entry, id));
        }
        double millis = millisSince(began);
        operator.join();
        return millis;
    }

    private static boolean accepts(Caller once, EntryVm entry, String id) {
        try {
            Caller.Request request =
                    new Caller.Request(
                            id + entry.name(),
                            "red-lookup",
                            false,
                            Optional.of(SmallCell.key("red")),
                            0,
                            10);
            return once.call(request, List.of(entry.httpAddress())).outcome() == Outcome.DONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Cost of idle entries; each figure is that of the entry with the highest one. */
    private record Idle(double residentMb, double cpuPercent, double peerBytesPerSecond) {
        static Idle measure(TestCell cell) throws Exception {
            List<Double> ticks = new ArrayList<>();
            List<Double> bytes = new ArrayList<>();
            for (EntryVm entry : cell.entries()) {
                ticks.add(ticks(entry));
                bytes.add(peerBytes(cell, entry));
            }
            long began = System.nanoTime();
            Thread.sleep(IDLE);
            double resident = 0;
            double cpu = 0;
            double rate = 0;
            for (int i = 0; i < ticks.size(); i++) {
                EntryVm entry = cell.entry(i);
                double seconds = millisSince(began) / 1e3;
                cpu =
                        Math.max(
                                cpu,
                                100 * (ticks(entry) - ticks.get(i)) / TICKS_PER_SECOND / seconds);
                rate = Math.max(rate, (peerBytes(cell, entry) - bytes.get(i)) / seconds);
                resident = Math.max(resident, residentMb(entry));
            }
            return new Idle(resident, cpu, rate);
        }

        private static double ticks(EntryVm entry) throws IOException {
            String stat = Files.readString(Path.of("/proc/" + entry.process().pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
            return Double.parseDouble(fields[11]) + Double.parseDouble(fields[12]);
        }

        private static double residentMb(EntryVm entry) throws IOException {
            for (String line :
                    Files.readAllLines(Path.of("/proc/" + entry.process().pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1_024;
                }
            }
            throw new IOException("no VmRSS of " + entry.name());
        }

        private static double peerBytes(TestCell cell, EntryVm entry) throws Exception {
            return cell.metrics(entry)
                    .lines()
                    .filter(l -> l.startsWith("jujube_peer_bytes_total"))
                    .mapToDouble(l -> Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
                    .sum();
        }
    }
}
