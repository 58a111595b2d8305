package review2;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

/**
 * Workers leave half of the starts and stops unanswered and carry them out late. The number of
 * waiting jobs that a queue gives has to be at least half of those that have not begun.
 */
final class UnansweredStarts implements Scenario.Body {
    private static final String CONFIGURATION =
            """
            {"version":3,"routes":[{"name":"r","host":"HOST","prefix":"/q/","route_type":"unsafe",\
            "timeout_ms":3000,"target_latency_ms":3000,"priority":0,"service":"svc","attempts":3,"stretch":4}],\
            "services":[{"name":"svc","enforces_capacity":false}],"limits":{"max_body_bytes":262144},\
            "tenants":[{"name":"a","api_keys":["key-a"],"weight":100,"cap":{"cpu":256000,"mem_mb":1048576,"gpu":0}}]}
            """;

    private static final int JOBS = 150;

    /** visible_ms, and the 2 s that the value may be old. */
    private static final double VISIBLE_SECONDS = 3 + 2;

    private static final long LATE_MILLIS = 5_500;
    private static final int MIN_WAITING = 4;

    @Override
    public boolean run(boolean trouble) throws Exception {
        try (Cell cell = new Cell(CONFIGURATION)) {
            for (int i = 0; i < 8; i++) {
                cell.addWorker("i-" + i, 32_000);
            }
            for (int i = 0; i < 3; i++) {
                cell.start(cell.addEntry("e" + i));
            }
            for (Cell.Entry entry : cell.entries) {
                Cell.require(30, "readiness", () -> cell.isReady(entry));
            }
            Cell.sleep(4_000);
            if (trouble) {
                Record.line("workers leave half of the starts and stops unanswered");
                cell.workers.forEach(w -> w.lateShare = 0.5);
            }
            double lateUntil = Record.seconds() + LATE_MILLIS / 1e3;
            Map<Integer, Double> acceptedAt = new ConcurrentHashMap<>();
            List<Thread> clients =
                    IntStream.range(0, JOBS)
                            .mapToObj(i -> Thread.ofVirtual().start(() -> submit(cell, i, acceptedAt)))
                            .toList();
            for (Thread client : clients) {
                client.join();
            }
            boolean broken = false;
            while (Record.seconds() < lateUntil + 3) {
                if (Record.seconds() > lateUntil) {
                    cell.workers.forEach(w -> w.lateShare = 0);
                }
                int given = cell.waiting(cell.entries.get(0), "/q/", "key-a");
                double now = Record.seconds();
                long waiting =
                        acceptedAt.keySet().stream()
                                .filter(i -> now - acceptedAt.get(i) > VISIBLE_SECONDS)
                                .filter(i -> Cell.runs(job(i)).isEmpty())
                                .count();
                Record.line("the queue gives %d; accepted over 5 s before and not begun: %d".formatted(given, waiting));
                if (given >= 0 && waiting >= MIN_WAITING && 2 * given < waiting) {
                    broken = true;
                }
                Cell.sleep(100);
            }
            return broken;
        }
    }

    private static String job(int number) {
        return "%015xf".formatted(0x100 + number);
    }

    private static void submit(Cell cell, int number, Map<Integer, Double> acceptedAt) {
        if (cell.submit("/q/" + job(number), "key-a",
                "{\"spec\":\"1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_ms\":1000}]}")) {
            acceptedAt.put(number, Record.seconds());
        }
    }
}
