package review2;

/**
 * A large gang waits for more whole workers than are free. A small job that came after it has to run
 * on the workers that are idle meanwhile.
 */
final class ReservedWorkers implements Scenario.Body {
    private static final String CONFIGURATION =
            """
            {"version":3,"routes":[{"name":"list-rebalance","host":"HOST","prefix":"/q/","route_type":"unsafe",\
            "timeout_ms":3000,"target_latency_ms":1200,"priority":1,"service":"svc","attempts":3,"stretch":2.2}],\
            "services":[{"name":"svc","enforces_capacity":false}],"limits":{"max_body_bytes":262144},\
            "tenants":[{"name":"a","api_keys":["key-a"],"weight":5,"cap":{"cpu":200000,"mem_mb":1048576,"gpu":0}},\
            {"name":"b","api_keys":["key-b"],"weight":5,"cap":{"cpu":240000,"mem_mb":1048576,"gpu":0}},\
            {"name":"c","api_keys":["key-c"],"weight":5,"cap":{"cpu":200000,"mem_mb":1048576,"gpu":0}}]}
            """;

    private static final String LASTING = "00000000000000aa";
    private static final String LARGE = "00000000000000bb";
    private static final String SMALL = "00000000000000cc";
    private static final double FINISH_SECONDS = 14;
    private static final double MAX_GAP_SECONDS = 3;

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
            cell.submit("/q/" + LASTING, "key-a",
                    "{\"spec\":\"0\",\"steps\":[{\"count\":8,\"cpu\":14000,\"mem_mb\":1024,\"persistent\":true}]}");
            Cell.require(10, "eight runs", () -> Cell.active(LASTING) == 8);
            long busy = Cell.runs(LASTING).stream().map(r -> r.worker).distinct().count();
            Record.line("112 of 256 cores are in use, on " + busy + " of 8 workers");
            if (trouble) {
                cell.submit("/q/" + LARGE, "key-b",
                        "{\"spec\":\"5000\",\"steps\":[{\"count\":10,\"cpu\":15000,\"mem_mb\":1024,\"est_ms\":5000,"
                                + "\"gang\":true}]}");
            }
            Cell.sleep(2_500);
            cell.submit("/q/" + SMALL, "key-c",
                    "{\"spec\":\"1000\",\"steps\":[{\"count\":2,\"cpu\":9000,\"mem_mb\":1024,\"est_ms\":1000}]}");
            double accepted = Record.seconds();
            Record.line("the traffic ends");
            double finish = accepted + FINISH_SECONDS;
            boolean broken = !Cell.await(FINISH_SECONDS + MAX_GAP_SECONDS, () -> !Cell.runs(SMALL).isEmpty());
            if (broken) {
                Record.line("LOST: nothing of the small job has run %.1f s after the end of the traffic; idle workers: %d"
                        .formatted(FINISH_SECONDS + MAX_GAP_SECONDS, 8 - busy));
                cell.call(cell.entries.get(0), "GET", "/q/" + SMALL, "key-c", "");
                Cell.await(25, () -> !Cell.runs(SMALL).isEmpty());
            }
            if (!Cell.runs(SMALL).isEmpty()) {
                Record.line("the small job began %.3f s after it was accepted"
                        .formatted(Cell.runs(SMALL).getFirst().startedAt - accepted));
            }
            return broken;
        }
    }
}
