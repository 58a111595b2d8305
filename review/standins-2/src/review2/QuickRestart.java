package review2;

import java.util.List;

/**
 * A worker crashes and starts again under its identifier within a second, gets work again, and is
 * then cut off and runs on. Its task must not run elsewhere while it runs there.
 */
final class QuickRestart implements Scenario.Body {
    private static final String CONFIGURATION =
            """
            {"version":3,"routes":[{"name":"r","host":"HOST","prefix":"/q/","route_type":"unsafe",\
            "timeout_ms":3000,"target_latency_ms":400,"priority":0,"service":"svc","attempts":3,"stretch":1.5}],\
            "services":[{"name":"svc","enforces_capacity":false}],"limits":{"max_body_bytes":262144},\
            "tenants":[{"name":"a","api_keys":["key-a"],"weight":10,"cap":{"cpu":256000,"mem_mb":1048576,"gpu":0}}]}
            """;

    private static final String JOB = "00000000000000aa";
    private static final String OTHER = "00000000000000bb";
    private static final long DOWN_MILLIS = 600;
    private static final long CUT_MILLIS = 11_000;

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
            // Seven workers have a task for which each has room once; the eighth is busy for 5 s.
            cell.submit("/q/" + JOB, "key-a",
                    "{\"spec\":\"40000\",\"steps\":[{\"count\":7,\"cpu\":20000,\"mem_mb\":1024,\"est_ms\":40000}]}");
            Cell.require(10, "seven runs", () -> Cell.active(JOB) == 7);
            Cell.sleep(3_000);
            cell.submit("/q/" + OTHER, "key-a",
                    "{\"spec\":\"5000\",\"steps\":[{\"count\":1,\"cpu\":20000,\"mem_mb\":1024,\"est_ms\":5000}]}");
            Cell.require(5, "the other job", () -> Cell.active(OTHER) == 1);
            Worker.Run run = Cell.runs(JOB).getFirst();
            Worker worker =
                    cell.workers.stream().filter(w -> w.id.equals(run.worker)).findFirst().orElseThrow();
            Record.line("worker " + worker.id + " has " + run + "; no other worker has room for 5 s");
            if (trouble) {
                worker.crash();
                Cell.sleep(DOWN_MILLIS);
                worker.begin();
                cell.register(worker);
                Cell.require(5, "the run after the restart", () -> Cell.runs(JOB).stream()
                        .anyMatch(r -> r.worker.equals(worker.id) && r.endedAt < 0));
                Cell.sleep(100);
                Record.line("worker " + worker.id + " is cut off and runs on");
                worker.cut = true;
                Cell.sleep(CUT_MILLIS);
                worker.cut = false;
                Record.line("worker " + worker.id + " is reached again");
            } else {
                Cell.sleep(CUT_MILLIS);
            }
            Cell.sleep(3_000);
            return overlaps(Cell.runs(JOB));
        }
    }

    private static boolean overlaps(List<Worker.Run> runs) {
        boolean found = false;
        for (Worker.Run first : runs) {
            for (Worker.Run second : runs) {
                boolean later = first.task.equals(second.task) && first.startedAt < second.startedAt;
                if (later && (first.endedAt < 0 || first.endedAt > second.startedAt)) {
                    Record.line("TWICE: " + second + " began while there was " + first + ", "
                            + (first.endedAt < 0 ? "which still runs"
                                    : "which ended %.3f s later".formatted(first.endedAt - second.startedAt)));
                    found = true;
                }
            }
        }
        return found;
    }
}
