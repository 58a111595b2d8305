package rig;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** All processes are killed while many accepted jobs wait for their time: the final fault of a day. */
public final class Backlog extends Script {
    private static final int JOBS = Integer.getInteger("jobs", 19_000);
    private static final int CLIENTS = 64;
    private static final int SPEC_BYTES = 4_000;
    private static final long SUBMIT_MILLIS = 50_000;
    private static final long DOWN_MILLIS = 1_000;

    /** The bound recovery_s of the small deployments. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final long REQUESTS_MILLIS = 20_000;
    private static final long REQUEST_INTERVAL_MILLIS = 100;

    private Backlog(Cell cell, Record record) {
        super(cell, record);
        cell.oneCore = !Boolean.getBoolean("allCores");
    }

    public static void main(String[] arguments) {
        run(arguments, Backlog::new);
    }

    @Override
    boolean play(boolean trouble) throws Exception {
        start(new Worker.Listener() {}, 4);
        submitAll();
        Thread.sleep(2_000);
        double servedBefore = servedShare(3_000);
        if (trouble) {
            killAll();
        }
        Thread.sleep(RECOVERY_MILLIS);
        double servedAfter = servedShare(REQUESTS_MILLIS);
        copyLogs("claim");
        copyLogs("lead");
        copyLogs("deposed");
        String result =
                "%d jobs waited; %.2f of the requests were served before, %.2f later than %d s after"
                        .formatted(JOBS, servedBefore, servedAfter, RECOVERY_MILLIS / 1_000);
        record.line(result);
        System.out.println(result);
        if (servedBefore < 0.25) {
            throw new IllegalStateException("less than a quarter was served before the fault");
        }
        return servedAfter < 0.25;
    }

    /** Submits jobs that are due in an hour. */
    private void submitAll() throws InterruptedException {
        long first = System.currentTimeMillis() + 3_600_000;
        String spec = "100 " + "x".repeat(SPEC_BYTES - 4);
        String body =
                ("{\"spec\":\"%s\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":1000,\"est_ms\":1000}],"
                                + "\"times\":10,\"first_ms\":%d,\"interval_ms\":60000}")
                        .formatted(spec, first);
        AtomicInteger next = new AtomicInteger();
        AtomicInteger accepted = new AtomicInteger();
        ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients.execute(
                    () -> {
                        try (RawCall call = new RawCall(cell.daemons.get(client % DAEMONS).front)) {
                            for (int i = next.getAndIncrement(); i < JOBS; i = next.getAndIncrement()) {
                                int status = call.send("POST", "/q/" + id(i), body, Cell.KEY, 3_000).status();
                                if (status == 200) {
                                    accepted.incrementAndGet();
                                } else {
                                    record.line("POST %s: %d", id(i), status);
                                }
                            }
                        } catch (Exception e) {
                            record.line("client: %s", e);
                        }
                    });
        }
        clients.shutdown();
        clients.awaitTermination(SUBMIT_MILLIS, TimeUnit.MILLISECONDS);
        record.line("%d jobs were accepted, the last one just now", accepted.get());
        if (accepted.get() < JOBS * 9 / 10) {
            throw new IllegalStateException("only " + accepted.get() + " jobs were accepted");
        }
    }

    private void killAll() throws Exception {
        record.line("all processes are killed");
        for (Cell.Daemon daemon : cell.daemons) {
            daemon.process.destroyForcibly();
        }
        Thread.sleep(DOWN_MILLIS);
        for (Cell.Daemon daemon : cell.daemons) {
            daemon.process.waitFor();
            cell.start(daemon);
        }
        for (Cell.Daemon daemon : cell.daemons) {
            cell.awaitReady(daemon, 10_000);
        }
        record.line("all processes are back");
    }

    /** Asks for the states of accepted jobs at all daemons, and returns the share that is served. */
    private double servedShare(long millis) throws InterruptedException {
        long end = record.millis() + millis;
        int requests = 0;
        int served = 0;
        while (record.millis() < end) {
            Cell.Daemon daemon = cell.daemons.get(requests % DAEMONS);
            Cell.Reply reply = cell.call(daemon, "GET", "/q/" + id(requests % JOBS), "");
            record.line("GET %s at %s: %d %s", id(requests % JOBS), daemon.name, reply.status(), reply.body());
            requests++;
            served += reply.status() == 200 ? 1 : 0;
            Thread.sleep(REQUEST_INTERVAL_MILLIS);
        }
        return (double) served / requests;
    }
}
