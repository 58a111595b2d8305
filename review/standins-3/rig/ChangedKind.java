package rig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Workers crash and start again under their ids, as workers of another kind. */
public final class ChangedKind extends Script {
    /** 15% of the service's workers. */
    private static final int CRASHED = 5;

    private static final int ROUNDS = 5;
    private static final long DOWN_MILLIS = 2_000;
    private static final long RESTART_INTERVAL_MILLIS = 330;
    private static final long ROUND_MILLIS = 12_000;
    private static final int TASKS = 10;
    private static final int RUN_MILLIS = 3_400;
    private static final long SUBMIT_INTERVAL_MILLIS = 110;

    /** The label that each job requires. */
    private final Map<String, String> labels = new ConcurrentHashMap<>();

    /** The highest fence of the earlier lives of each worker. */
    private final Map<String, Long> earlierFence = new ConcurrentHashMap<>();

    private final AtomicInteger starts = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger wrongKnown = new AtomicInteger();

    private ChangedKind(Cell cell, Record record) {
        super(cell, record);
    }

    public static void main(String[] arguments) {
        run(arguments, ChangedKind::new);
    }

    @Override
    boolean play(boolean trouble) throws Exception {
        start(
                new Worker.Listener() {
                    @Override
                    public void started(Worker w, Worker.Life life, String task, long run, long fence, JsonNode order) {
                        judge(w, life, task, run, fence);
                    }
                },
                2);
        long end = record.millis() + 4_000 + ROUNDS * ROUND_MILLIS;
        Thread clients = Thread.ofVirtual().start(() -> submitUntil(end));
        Thread.sleep(6_000);
        Random random = new Random(7);
        for (int round = 0; round < ROUNDS; round++) {
            List<Worker> crashed = new ArrayList<>();
            while (crashed.size() < CRASHED) {
                Worker worker = workers.get(random.nextInt(WORKERS));
                if (!crashed.contains(worker)) {
                    crashed.add(worker);
                }
            }
            if (trouble) {
                restart(crashed);
            }
            Thread.sleep(ROUND_MILLIS - DOWN_MILLIS);
        }
        clients.join();
        copyLogs("worker-restarted");
        copyLogs("worker-fenced");
        copyLogs("worker-restart-listed");
        String result =
                "%d starts; ROUTE broken by %d starts, %d of them with a fence that is higher than all of the earlier life"
                        .formatted(starts.get(), wrong.get(), wrongKnown.get());
        record.line(result);
        System.out.println(result);
        return wrongKnown.get() > 0;
    }

    private void judge(Worker w, Worker.Life life, String task, long run, long fence) {
        starts.incrementAndGet();
        String label = labels.get(task.substring(0, 16));
        boolean fits = label == null || label.equals(life.kind);
        // The leader raises the fence for a new life, so an order with the higher one was sent with knowledge of it.
        boolean isKnown = fence > earlierFence.getOrDefault(w.id, 0L);
        record.line(
                "%s (kind %s, born %d) starts %s run %d, fence %d, required label %s%s",
                w.id,
                life.kind,
                life.born,
                task,
                run,
                fence,
                label,
                fits ? "" : isKnown ? " WRONG, the restart was known" : " WRONG, sent before the restart was known");
        if (!fits) {
            wrong.incrementAndGet();
            wrongKnown.addAndGet(isKnown ? 1 : 0);
        }
    }

    private void restart(List<Worker> crashed) throws Exception {
        for (Worker worker : crashed) {
            record.line("%s (kind %s) crashes", worker.id, worker.life().kind);
            earlierFence.merge(worker.id, worker.life().fence, Math::max);
            worker.crash();
        }
        Thread.sleep(DOWN_MILLIS);
        for (Worker worker : crashed) {
            String kind = worker.life().kind.equals("a") ? "b" : "a";
            worker.restart(kind);
            record.line("%s starts again as kind %s, born %d", worker.id, kind, worker.life().born);
            Thread.sleep(RESTART_INTERVAL_MILLIS);
        }
    }

    /** Submits jobs so that about all cores are in use and some tasks wait. */
    private void submitUntil(long end) {
        try {
            for (int number = 0; record.millis() < end; number++) {
                String label = number % 2 == 0 ? "a" : "b";
                labels.put(id(number), label);
                String body =
                        "{\"spec\":\"" + RUN_MILLIS + "\",\"steps\":[{\"count\":" + TASKS
                                + ",\"cpu\":4000,\"mem_mb\":7200,\"est_ms\":" + RUN_MILLIS
                                + ",\"required_label\":\"" + label + "\"}]}";
                Cell.Daemon daemon = cell.daemons.get(number % DAEMONS);
                int status = cell.call(daemon, "POST", "/q/" + id(number), body).status();
                record.line("POST %s, label %s: %d", id(number), label, status);
                Thread.sleep(SUBMIT_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
