package review2;

import java.util.List;

/**
 * A lasting task of a job that came beyond its tenant's share ends while the fleet is more than nine
 * tenths full. It has to run again, however full the service is.
 */
final class FullFleet implements Scenario.Body {
    private static final String CONFIGURATION =
            """
            {"version":3,"routes":[{"name":"r","host":"HOST","prefix":"/q/","route_type":"unsafe",\
            "timeout_ms":3000,"target_latency_ms":400,"priority":0,"service":"svc","attempts":3,"stretch":1.5}],\
            "services":[{"name":"svc","enforces_capacity":false}],"limits":{"max_body_bytes":262144},\
            "tenants":[{"name":"a","api_keys":["key-a"],"weight":1,"cap":{"cpu":32000,"mem_mb":65536,"gpu":0}},\
            {"name":"b","api_keys":["key-b"],"weight":10,"cap":{"cpu":256000,"mem_mb":1048576,"gpu":0}}]}
            """;

    private static final String LASTING = "00000000000000aa";
    private static final String FILLER = "00000000000000bb";

    @Override
    public boolean run(boolean trouble) throws Exception {
        try (Cell cell = new Cell(CONFIGURATION)) {
            for (int i = 0; i < 4; i++) {
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
                Record.line("tenant a sends 7.5 times its usual for half a second");
                for (int i = 0; i < 4; i++) {
                    cell.submit("/q/%015xf".formatted(i), "key-a",
                            "{\"spec\":\"200\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"est_ms\":200}]}");
                    Cell.sleep(133);
                }
            }
            boolean accepted =
                    cell.submit("/q/" + LASTING, "key-a",
                            "{\"spec\":\"0\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"persistent\":true}]}");
            if (!accepted) {
                throw new IllegalStateException("the lasting job was not accepted");
            }
            Cell.require(10, "a run of the lasting task", () -> Cell.active(LASTING) == 1);
            cell.submit("/q/" + FILLER, "key-b",
                    "{\"spec\":\"0\",\"steps\":[{\"count\":30,\"cpu\":4000,\"mem_mb\":1024,\"persistent\":true}]}");
            Cell.require(10, "30 runs of the other tenant", () -> Cell.active(FILLER) == 30);
            Cell.sleep(6_000);
            Worker.Run run = Cell.runs(LASTING).getLast();
            Worker worker =
                    cell.workers.stream().filter(w -> w.id.equals(run.worker)).findFirst().orElseThrow();
            Record.line("the lasting task fails; 120 of 128 cores are in use by tenant b, none by tenant a");
            worker.endTask(run.task, "failed");
            boolean inTime = Cell.await(9, () -> Cell.active(LASTING) == 1);
            if (!inTime) {
                Record.line("nothing of the job ran from 6 s to 9 s after the end of its last run");
                boolean later = Cell.await(16, () -> Cell.active(LASTING) == 1);
                Record.line("runs within 25 s: " + later);
                cell.call(cell.entries.get(0), "GET", "/q/" + LASTING, "key-a", "");
                cell.submit("/q/00000000000000cc", "key-b",
                        "{\"spec\":\"500\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"est_ms\":500}]}");
                Cell.await(3, () -> !Cell.runs("00000000000000cc").isEmpty());
                Record.line("a new job of tenant b of the same size ran meanwhile: "
                        + !Cell.runs("00000000000000cc").isEmpty());
                cell.call(cell.entries.get(0), "DELETE", "/q/" + FILLER, "key-b", "");
                Cell.await(10, () -> Cell.active(LASTING) == 1);
                Record.line("runs after the other tenant's job was cancelled: " + (Cell.active(LASTING) == 1));
            }
            List<Worker.Run> runs = Cell.runs(LASTING);
            Record.line("runs of the lasting task: " + runs);
            return !inTime;
        }
    }
}
