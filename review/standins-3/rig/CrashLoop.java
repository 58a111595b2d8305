package rig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Some jobs with tasks that last come whose tasks always fail, beside sound jobs of another tenant. */
public final class CrashLoop extends Script {
    private static final int POISON_JOBS = 5;
    private static final int POISON_TASKS = 12;
    private static final int FAIL_MILLIS = 300;
    private static final int SOUND_JOBS = 30;
    private static final long SOUND_INTERVAL_MILLIS = 700;
    private static final long CALM_MILLIS = 6_000;

    /** For this long a job has nothing running while there is capacity for it: the rule LOST. */
    private static final long LIMIT_MILLIS = 3_000;

    private final Map<String, Long> firstStarts = new ConcurrentHashMap<>();
    private final AtomicInteger starts = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();

    private CrashLoop(Cell cell, Record record) {
        super(cell, record);
    }

    public static void main(String[] arguments) {
        run(arguments, CrashLoop::new);
    }

    @Override
    boolean play(boolean trouble) throws Exception {
        start(
                new Worker.Listener() {
                    @Override
                    public void started(Worker w, Worker.Life life, String task, long run, long fence, JsonNode order) {
                        starts.incrementAndGet();
                        firstStarts.putIfAbsent(task.substring(0, 16), record.millis());
                        record.line("%s starts %s run %d", w.id, task, run);
                    }

                    @Override
                    public void ended(Worker w, Worker.Life life, Worker.End end) {
                        failures.addAndGet(end.how().equals("failed") ? 1 : 0);
                        record.line("%s ends %d: %s run %d %s", w.id, end.number(), end.task(), end.run(), end.how());
                    }
                },
                4);
        if (trouble) {
            for (int i = 0; i < POISON_JOBS; i++) {
                submit(
                        i,
                        "{\"spec\":\"" + FAIL_MILLIS + " fail\",\"steps\":[{\"count\":" + POISON_TASKS
                                + ",\"cpu\":8000,\"mem_mb\":8000,\"est_ms\":1000,\"persistent\":true}]}");
                Thread.sleep(500);
            }
        }
        Thread.sleep(CALM_MILLIS);
        long[] acceptedAt = new long[SOUND_JOBS];
        for (int i = 0; i < SOUND_JOBS; i++) {
            int status =
                    submit(
                            100 + i,
                            "{\"spec\":\"600000\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":2000,\"est_ms\":1000,"
                                    + "\"persistent\":true}]}",
                            Cell.OTHER_KEY);
            acceptedAt[i] = status == 200 ? record.millis() : -1;
            Thread.sleep(SOUND_INTERVAL_MILLIS);
        }
        Thread.sleep(8_000);
        int broken = 0;
        long longest = 0;
        for (int i = 0; i < SOUND_JOBS; i++) {
            if (acceptedAt[i] < 0) {
                continue;
            }
            long wait = firstStarts.getOrDefault(id(100 + i), record.millis()) - acceptedAt[i];
            record.line("job %s had nothing running for %d ms after its acceptance", id(100 + i), wait);
            broken += wait > LIMIT_MILLIS ? 1 : 0;
            longest = Math.max(longest, wait);
        }
        String result =
                "%d starts, %d failures; LOST broken by %d of %d sound jobs, longest wait %d ms"
                        .formatted(starts.get(), failures.get(), broken, SOUND_JOBS, longest);
        copyLogs("steps-waiting");
        record.line(result);
        System.out.println(result);
        return broken > 0;
    }
}
