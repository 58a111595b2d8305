package review;

import java.util.List;

/**
 * A worker is cut off and runs on, and the leader's process is killed. The next leader must count
 * what the tenant has running there.
 */
final class QuotaCase implements CaseMain.Case {
    private static final String FIRST = "00000000000000c1";
    private static final String SECOND = "00000000000000c2";
    private static final long TASK_MILLICORES = 8_000;
    private static final long CAP_MILLICORES = 32_000;
    private static final double QUOTA_EXCESS = 0.1;
    private static final long CUT_MILLIS = 5_500;

    @Override
    public boolean run(Record record, boolean trouble) throws Exception {
        AdviceStandin.Timing timing = new AdviceStandin.Timing(7.4, 0.11, 2_000);
        try (Platform platform = new Platform(record, 4, 12, timing, CAP_MILLICORES)) {
            EntryProcess leader = platform.leader();
            EntryProcess front = platform.anotherThan(leader);
            platform.submit(front, FIRST, Platform.steps(4, TASK_MILLICORES, 20_000), 20_000);
            Platform.await("the first job", 10_000, () -> platform.runningOf(FIRST) == 4);
            List<String> used = platform.running.values().stream().distinct().toList();
            record.add("the tenant has all of its cap at work, on %s", used);
            if (used.size() > 2) {
                throw new Platform.CannotRun("the first job uses " + used.size() + " workers");
            }
            if (trouble) {
                record.add("trouble: %s cut off; entry %d, which leads, is killed",
                        used, leader.number);
                used.forEach(w -> platform.worker(w).setCut(true));
                leader.signal("KILL");
                Thread.ofVirtual().start(() -> heal(record, platform, used));
            }
            platform.submit(front, SECOND, Platform.steps(4, TASK_MILLICORES, 3_000), 3_000);
            long highest = 0;
            long until = record.millis() + 12_000;
            while (record.millis() < until) {
                highest = Math.max(highest, platform.running.size() * TASK_MILLICORES);
                Thread.sleep(5);
            }
            double limit = CAP_MILLICORES * (1 + QUOTA_EXCESS) + TASK_MILLICORES;
            record.add("at most %d millicores at work at once; the rule allows %.0f", highest, limit);
            return highest > limit;
        }
    }

    private static void heal(Record record, Platform platform, List<String> cut) {
        try {
            Thread.sleep(CUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        cut.forEach(w -> platform.worker(w).setCut(false));
        record.add("trouble: the cut has healed");
    }
}
