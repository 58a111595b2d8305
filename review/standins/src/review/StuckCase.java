package review;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The operator removes a queue and restores it within a second, while a ticket of a job of that
 * queue is renewed. The job was accepted, so it has to run.
 */
final class StuckCase implements CaseMain.Case {
    private static final String BLOCKER = "00000000000000b1";
    private static final String WAITING = "00000000000000a1";
    private static final int TASK_MILLIS = 1_000;
    private static final long GAP_MILLIS = 900;

    /** {@code finish_s} of the site, and the 3 s after which a job that doesn't run counts. */
    private static final long ASKED_AFTER_MILLIS = 14_000 + 3_000;

    @Override
    public boolean run(Record record, boolean trouble) throws Exception {
        // Times of advice as on the site.
        AdviceStandin.Timing timing = new AdviceStandin.Timing(510, 7.4, 2_000);
        try (Platform platform = new Platform(record, 4, 12, timing, 0)) {
            EntryProcess leader = platform.leader();
            EntryProcess front = platform.anotherThan(leader);
            String onlyWorker = platform.workers.get(3).id;
            platform.advice.allowOnly(BLOCKER, Set.of(onlyWorker));
            platform.advice.allowOnly(WAITING, Set.of(onlyWorker));
            platform.submit(front, BLOCKER, Platform.steps(1, 30_000, 6_000), 6_000);
            Platform.await("start", 10_000, () -> platform.runningOf(BLOCKER) == 1);
            AtomicLong callsForWaiting = new AtomicLong();
            platform.advice.setListener(
                    new AdviceStandin.Listener() {
                        @Override
                        public void called(int machine, String step, List<String> workers) {
                            // The second call for this step renews its ticket.
                            if (step.startsWith(WAITING)
                                    && callsForWaiting.incrementAndGet() == 2
                                    && trouble) {
                                Thread.ofVirtual().start(() -> changeTwice(record, platform));
                            }
                        }

                        @Override
                        public void answered(int machine, String step, List<String> good) {}
                    });
            platform.submit(front, WAITING, Platform.steps(1, 10_000, TASK_MILLIS), TASK_MILLIS);
            Platform.await("end of the first job", 20_000, () -> platform.runningOf(BLOCKER) == 0);
            Platform.await("renewal", 10_000, () -> callsForWaiting.get() >= 2);
            // From here on all workers are free.
            long freeAt = record.millis();
            String state = "";
            while (record.millis() < freeAt + 2_000 + ASKED_AFTER_MILLIS
                    && !state.contains("done")) {
                Thread.sleep(1_000);
                state = platform.call(front, "GET", WAITING, "");
            }
            boolean started =
                    platform.starts.stream().anyMatch(s -> s.task().startsWith(WAITING));
            record.add("the job was started: %s; the leader is the same: %s",
                    started, platform.leader() == leader);
            return !started;
        }
    }

    private static void changeTwice(Record record, Platform platform) {
        try {
            platform.store.put("op/config", platform.configurationWithoutQueue(8));
            record.add("trouble: the store has accepted version 8, which lacks the queue");
            Thread.sleep(GAP_MILLIS);
            platform.store.put("op/config", platform.configuration(9));
            record.add("trouble: the store has accepted version 9, which has the queue again");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
