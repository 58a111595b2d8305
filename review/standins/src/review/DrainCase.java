package review;

import java.util.HashSet;
import java.util.Set;

/**
 * A worker reports that it is draining while the ticket of a task is renewed that is assigned to
 * it. The task may not start there later than {@code drain_ms} after the report.
 */
final class DrainCase implements CaseMain.Case {
    private static final String BLOCKER = "00000000000000e0";
    private static final String LAST_BLOCKER = "00000000000000e1";
    private static final int WORKERS = 33;
    private static final long BUSY_MILLIS = 30_000;

    /** The draining worker becomes free this long after the others. */
    private static final long STAGGER_MILLIS = 300;

    private static final long DRAIN_MILLIS = 2_500;

    @Override
    public boolean run(Record record, boolean trouble) throws Exception {
        // Times of advice as on the site.
        AdviceStandin.Timing timing = new AdviceStandin.Timing(510, 7.4, 2_000);
        try (Platform platform = new Platform(record, 8, WORKERS, timing, 0)) {
            EntryProcess front = platform.anotherThan(platform.leader());
            WorkerStandin draining = platform.workers.get(WORKERS - 1);
            Set<String> others = new HashSet<>();
            platform.workers.subList(0, WORKERS - 1).forEach(w -> others.add(w.id));
            platform.advice.allowOnly(BLOCKER, others);
            platform.advice.allowOnly(LAST_BLOCKER, Set.of(draining.id));
            platform.submit(
                    front, BLOCKER, Platform.steps(WORKERS - 1, 30_000, BUSY_MILLIS), BUSY_MILLIS);
            Platform.await(
                    "first job", 20_000, () -> platform.runningOf(BLOCKER) == WORKERS - 1);
            long freeAt = System.currentTimeMillis() + BUSY_MILLIS + STAGGER_MILLIS;
            platform.submit(
                    front, LAST_BLOCKER, Platform.steps(1, 30_000, BUSY_MILLIS), freeAt);
            for (int i = 0; i < WORKERS; i++) {
                String job = job(i);
                platform.advice.allowOnly(job, Set.of(platform.workers.get(i).id));
                platform.submit(front, job, Platform.steps(1, 30_000, 4_000), 4_000);
            }
            Platform.await("end", 60_000, () -> platform.runningOf(BLOCKER) == 0);
            Platform.await("end", 10_000, () -> platform.runningOf(LAST_BLOCKER) == 0);
            Thread.sleep(200);
            long reportedAt = Long.MAX_VALUE / 2;
            if (trouble) {
                platform.store.put("servers/" + draining.id, draining.entry("draining"));
                reportedAt = record.millis();
                record.add("trouble: the store has accepted that %s is draining", draining.id);
            }
            Thread.sleep(12_000);
            boolean broken = false;
            for (Platform.Start start : platform.starts) {
                long after = start.atMillis() - reportedAt;
                if (start.worker().equals(draining.id) && after > DRAIN_MILLIS) {
                    record.add(
                            "%s started on the draining worker %d ms after its report",
                            start.task(), after);
                    broken = true;
                }
            }
            return broken;
        }
    }

    private static String job(int index) {
        return String.format("%016x", 0xe100 + index);
    }
}
