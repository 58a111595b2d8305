package review;

/**
 * The operator removes a queue and restores it. Meanwhile, the last attempt of a job of that queue
 * fails. The task must not be started once more.
 */
final class BudgetCase implements CaseMain.Case {
    private static final String JOB = "00000000000000f1";
    private static final int ATTEMPTS = 3;
    private static final int TASK_MILLIS = 1_500;
    private static final long GAP_MILLIS = 2_500;

    @Override
    public boolean run(Record record, boolean trouble) throws Exception {
        AdviceStandin.Timing timing = new AdviceStandin.Timing(7.4, 0.11, 2_000);
        try (Platform platform = new Platform(record, 4, 12, timing, 0)) {
            EntryProcess front = platform.anotherThan(platform.leader());
            // A job that can never be done: each of its runs fails.
            platform.submit(
                    front, JOB, Platform.steps(1, 2_000, TASK_MILLIS), -TASK_MILLIS);
            Platform.await(
                    "the last attempt", 20_000, () -> platform.starts.size() >= ATTEMPTS);
            if (trouble) {
                platform.store.put("op/config", platform.configurationWithoutQueue(8));
                record.add("trouble: the store has accepted version 8, which lacks the queue");
                Thread.sleep(GAP_MILLIS);
                platform.store.put("op/config", platform.configuration(9));
                record.add("trouble: the store has accepted version 9, which has it again");
            }
            Thread.sleep(8_000);
            platform.call(front, "GET", JOB, "");
            int starts = platform.starts.size();
            int noted = platform.failuresNoted.values().stream().mapToInt(n -> n).sum();
            record.add("%d starts; %d ends failed are noted; %d attempts are allowed",
                    starts, noted, ATTEMPTS);
            return starts > ATTEMPTS && noted >= ATTEMPTS;
        }
    }
}
