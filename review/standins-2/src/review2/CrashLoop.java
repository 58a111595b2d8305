package review2;

import java.util.Arrays;

/**
 * One lasting job fails soon after each start. An accepted job of another tenant has to go on, on a
 * fleet that is almost idle.
 */
final class CrashLoop implements Scenario.Body {
    private static final String CONFIGURATION =
            """
            {"version":3,"routes":[{"name":"r","host":"HOST","prefix":"/q/","route_type":"unsafe",\
            "timeout_ms":3000,"target_latency_ms":400,"priority":0,"service":"svc","attempts":3,"stretch":1.5}],\
            "services":[{"name":"svc","enforces_capacity":false}],"limits":{"max_body_bytes":262144},\
            "tenants":[{"name":"a","api_keys":["key-a"],"weight":10,"cap":{"cpu":128000,"mem_mb":524288,"gpu":0}},\
            {"name":"b","api_keys":["key-b"],"weight":10,"cap":{"cpu":128000,"mem_mb":524288,"gpu":0}}]}
            """;

    private static final String LASTING = "00000000000000aa";
    private static final int JOBS = 8;
    private static final int STEPS = 4;
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
            for (int i = 0; i < 18; i++) {
                cell.submit("/q/%015xf".formatted(i), "key-b",
                        "{\"spec\":\"300\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"est_ms\":300}]}");
                Cell.sleep(200);
            }
            cell.submit("/q/" + LASTING, "key-a",
                    "{\"spec\":\"%s\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":64,\"persistent\":true}]}"
                            .formatted(trouble ? "f100" : "0"));
            Cell.sleep(2_000);
            for (int i = 0; i < JOBS; i++) {
                cell.submit("/q/" + job(i), "key-b", chain(1_500 + 150 * i));
                Cell.sleep(350);
            }
            double trafficEnd = Record.seconds();
            Record.line("the traffic ends");
            boolean broken = watch(cell, trafficEnd + FINISH_SECONDS);
            report(trafficEnd);
            return broken;
        }
    }

    /** Returns a job of several steps, one after the other, of one task each. */
    private static String chain(int millis) {
        StringBuilder steps = new StringBuilder();
        for (int i = 0; i < STEPS; i++) {
            steps.append(i == 0 ? "" : ",")
                    .append("{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_ms\":" + millis)
                    .append(i == 0 ? "}" : ",\"after\":[" + (i - 1) + "]}");
        }
        return "{\"spec\":\"" + millis + "\",\"steps\":[" + steps + "]}";
    }

    private static String job(int number) {
        return "%015xf".formatted(0x100 + number);
    }

    /** Returns whether an open job has nothing running for 3 s, counted from {@code finish} on. */
    private static boolean watch(Cell cell, double finish) {
        double[] idleSince = new double[JOBS];
        boolean[] reported = new boolean[JOBS];
        Arrays.fill(idleSince, -1);
        boolean broken = false;
        while (Record.seconds() < finish + 20) {
            for (int i = 0; i < JOBS; i++) {
                if (Record.seconds() < finish || isDone(job(i)) || Cell.active(job(i)) > 0) {
                    idleSince[i] = -1;
                } else if (idleSince[i] < 0) {
                    idleSince[i] = Record.seconds();
                } else if (!reported[i] && Record.seconds() - idleSince[i] > MAX_GAP_SECONDS) {
                    reported[i] = true;
                    broken = true;
                    Record.line("LOST: nothing of job " + job(i) + " runs for 3 s, more than 14 s after the end of "
                            + "the traffic; tasks that run on the 8 workers of 32 cores: " + active());
                    cell.call(cell.entries.get(0), "GET", "/q/" + job(i), "key-b", "");
                }
            }
            Cell.sleep(10);
        }
        return broken;
    }

    private static long active() {
        return Cell.runs("").stream().filter(r -> r.endedAt < 0).count();
    }

    private static boolean isDone(String job) {
        return Cell.runs(job).stream().filter(r -> r.how.equals("done")).count() == STEPS;
    }

    private static void report(double trafficEnd) {
        for (int i = 0; i < JOBS; i++) {
            double last = trafficEnd;
            for (Worker.Run run : Cell.runs(job(i))) {
                Record.line("%s began %.3f s after the end of the one before (of the traffic for the first)"
                        .formatted(run, run.startedAt - last));
                last = run.endedAt;
            }
        }
        Record.line("runs of the failing job: " + Cell.runs(LASTING).size());
    }
}
