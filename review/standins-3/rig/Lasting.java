package rig;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A worker with tasks that last is lost for good at the moment at which the leader freezes for some seconds. */
public final class Lasting extends Script {
    private static final int TASKS = 24;
    private static final long FREEZE_MILLIS = 2_500;
    private static final long WATCH_MILLIS = 15_000;

    /** The rule LOST holds for a task that lasts from this time after its last run. */
    private static final long AFTER_LAST_RUN_MILLIS = 6_000;

    /** For this long the task has nothing running. */
    private static final long LIMIT_MILLIS = 3_000;

    /** Before that, this long has to be calm as well. */
    private static final long CALM_BEFORE_MILLIS = 4_000;

    private final Map<String, Worker> places = new HashMap<>();
    private final Map<String, Long> startedAt = new HashMap<>();

    private Lasting(Cell cell, Record record) {
        super(cell, record);
    }

    public static void main(String[] arguments) {
        run(arguments, Lasting::new);
    }

    @Override
    boolean play(boolean trouble) throws Exception {
        start(
                new Worker.Listener() {
                    @Override
                    public void started(Worker w, Worker.Life life, String task, long run, long fence, JsonNode order) {
                        synchronized (places) {
                            places.put(task, w);
                            startedAt.put(task, record.millis());
                        }
                        record.line("%s starts %s run %d, fence %d", w.id, task, run, fence);
                    }

                    @Override
                    public void ended(Worker w, Worker.Life life, Worker.End end) {
                        record.line("%s ends %d: %s run %d %s", w.id, end.number(), end.task(), end.run(), end.how());
                    }
                },
                4);
        int status =
                submit(
                        1,
                        "{\"spec\":\"600000\",\"steps\":[{\"count\":" + TASKS
                                + ",\"cpu\":8000,\"mem_mb\":8000,\"est_ms\":1000,\"persistent\":true}]}");
        if (status != 200) {
            throw new IllegalStateException("the job was not accepted");
        }
        Thread.sleep(6_000);
        Worker lost;
        List<String> tasks = new ArrayList<>();
        synchronized (places) {
            lost = places.get(id(1) + ".0.0.0");
            places.forEach(
                    (task, worker) -> {
                        if (worker == lost) {
                            tasks.add(task);
                        }
                    });
        }
        record.line("%s runs %s", lost.id, tasks);
        Cell.Daemon leader = cell.leader();
        long lostAt = record.millis();
        if (trouble) {
            record.line("%s, which leads, freezes; %s is lost for good", leader.name, lost.id);
            Cell.signal(leader, "STOP");
            lost.crash();
            Thread.sleep(FREEZE_MILLIS);
            Cell.signal(leader, "CONT");
            record.line("%s wakes again", leader.name);
        }
        long calmFrom = record.millis();
        Thread.sleep(WATCH_MILLIS);
        copyLogs("claim");
        copyLogs("lead");
        copyLogs("recovered");
        int broken = 0;
        long longest = 0;
        if (trouble) {
            for (String task : tasks) {
                long idleUntil = startedAt.get(task) > lostAt ? startedAt.get(task) : record.millis();
                long judgedFrom = Math.max(lostAt + AFTER_LAST_RUN_MILLIS, calmFrom + CALM_BEFORE_MILLIS);
                boolean isBroken = idleUntil - judgedFrom > LIMIT_MILLIS;
                record.line(
                        "task %s had nothing running for %d ms, the last %d ms of them judged%s",
                        task, idleUntil - lostAt, idleUntil - judgedFrom, isBroken ? ": LOST is broken" : "");
                broken += isBroken ? 1 : 0;
                longest = Math.max(longest, idleUntil - lostAt);
            }
        }
        String result =
                "LOST broken for %d of %d tasks that last, longest time without a run %d ms"
                        .formatted(broken, tasks.size(), longest);
        record.line(result);
        System.out.println(result);
        return broken > 0;
    }
}
