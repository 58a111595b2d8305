package review2;

/**
 * A worker that runs a lasting task is emptied and taken away. It says that it drains, works on for
 * the drain time, answers what waits and exits. Its task has to run elsewhere in time.
 */
final class LostWorker implements Scenario.Body {
    private static final String CONFIGURATION =
            """
            {"version":3,"routes":[{"name":"r","host":"HOST","prefix":"/q/","route_type":"unsafe",\
            "timeout_ms":3000,"target_latency_ms":1200,"priority":1,"service":"svc","attempts":3,"stretch":2.2,\
            "advice":{"decide_ms":510,"each_ms":7.4,"valid_ms":2000}}],\
            "services":[{"name":"svc","enforces_capacity":false}],"limits":{"max_body_bytes":262144},\
            "tenants":[{"name":"a","api_keys":["key-a"],"weight":10,"cap":{"cpu":128000,"mem_mb":524288,"gpu":0}}]}
            """;

    private static final String LASTING = "00000000000000aa";
    private static final long DRAIN_MILLIS = 2_500;

    /** From 6 s after the end of the last run, the task may be away for less than 3 s. */
    private static final double MAX_AWAY_SECONDS = 9;

    @Override
    public boolean run(boolean trouble) throws Exception {
        try (Cell cell = new Cell(CONFIGURATION)) {
            for (int i = 0; i < 16; i++) {
                cell.addWorker("i-" + i, 32_000);
            }
            for (int i = 0; i < 3; i++) {
                cell.start(cell.addEntry("e" + i));
            }
            for (Cell.Entry entry : cell.entries) {
                Cell.require(30, "readiness", () -> cell.isReady(entry));
            }
            Cell.sleep(4_000);
            cell.submit("/q/" + LASTING, "key-a",
                    "{\"spec\":\"0\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"persistent\":true}]}");
            Cell.require(10, "a run of the lasting task", () -> Cell.active(LASTING) == 1);
            Cell.sleep(6_000);
            Worker.Run run = Cell.runs(LASTING).getLast();
            Worker worker =
                    cell.workers.stream().filter(w -> w.id.equals(run.worker)).findFirst().orElseThrow();
            if (trouble) {
                worker.draining = true;
                cell.register(worker);
                Record.line("worker " + worker.id + " says that it drains");
                Cell.sleep(DRAIN_MILLIS + 1_000);
                worker.leave();
                cell.store.remove(worker.key());
                Record.line("entry of worker " + worker.id + " is removed, because it has left");
            } else {
                worker.endTask(run.task, "failed");
            }
            boolean inTime =
                    Cell.await(run.endedAt + MAX_AWAY_SECONDS - Record.seconds(), () -> Cell.active(LASTING) == 1);
            Cell.await(8, () -> Cell.active(LASTING) == 1);
            Record.line("next run %.3f s after the end of the last one"
                    .formatted(Cell.runs(LASTING).getLast().startedAt - run.endedAt));
            return !inTime;
        }
    }
}
