package review;

import java.util.Set;

/**
 * An unhealthy worker rejects all starts for some seconds. A job that no worker has begun has to
 * be counted as waiting.
 */
final class WaitingCase implements CaseMain.Case {
    private static final String BLOCKER = "00000000000000d1";
    private static final String WAITING = "00000000000000d2";

    /** Jobs accepted longer ago than this have to be counted: {@code visible_ms} and 2 s. */
    private static final long COUNTED_AFTER_MILLIS = 3_000 + 2_000;

    private static final long UNHEALTHY_MILLIS = 6_500;

    @Override
    public boolean run(Record record, boolean trouble) throws Exception {
        AdviceStandin.Timing timing = new AdviceStandin.Timing(7.4, 0.11, 2_000);
        try (Platform platform = new Platform(record, 4, 12, timing, 0)) {
            EntryProcess front = platform.anotherThan(platform.leader());
            WorkerStandin unhealthy = platform.workers.get(2);
            String other = platform.workers.get(5).id;
            platform.advice.allowOnly(BLOCKER, Set.of(other));
            platform.advice.allowOnly(WAITING, Set.of(unhealthy.id, other));
            platform.submit(front, BLOCKER, Platform.steps(1, 30_000, 60_000), 60_000);
            Platform.await("the first job", 10_000, () -> platform.runningOf(BLOCKER) == 1);
            long troubleAt = record.millis();
            if (trouble) {
                record.add("trouble: worker %s answers starts with 503", unhealthy.id);
                unhealthy.setUnhealthy(true);
            }
            platform.submit(front, WAITING, Platform.steps(1, 30_000, 30_000), 30_000);
            long acceptedAt = record.millis();
            boolean broken = false;
            while (record.millis() < troubleAt + UNHEALTHY_MILLIS) {
                boolean begun = begun(platform);
                for (EntryProcess entry : platform.entries) {
                    long askedAt = record.millis();
                    long counted = waiting(platform.call(entry, "GET", "", ""));
                    if (!begun
                            && !begun(platform)
                            && counted == 0
                            && askedAt - acceptedAt > COUNTED_AFTER_MILLIS) {
                        record.add(
                                "the job was accepted %d ms before and has not begun, and entry %d"
                                        + " counts no waiting job",
                                askedAt - acceptedAt, entry.number);
                        broken = true;
                    }
                }
                platform.call(front, "GET", WAITING, "");
                Thread.sleep(200);
            }
            if (trouble) {
                unhealthy.setUnhealthy(false);
                record.add("trouble: worker %s is healthy again", unhealthy.id);
            }
            Thread.sleep(4_000);
            return broken;
        }
    }

    private static boolean begun(Platform platform) {
        synchronized (platform.starts) {
            return platform.starts.stream().anyMatch(s -> s.task().startsWith(WAITING));
        }
    }

    /** Returns the count in an answer, or -1 if the answer holds none. */
    private static long waiting(String answer) throws Exception {
        return answer.startsWith("200 ")
                ? HttpStandin.MAPPER.readTree(answer.substring(4)).path("waiting").asLong(-1)
                : -1;
    }
}
