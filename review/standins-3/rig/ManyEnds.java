package rig;

import java.util.ArrayList;
import java.util.List;

/** Many short tasks end on one worker while the platform's store is down for 4.5 s. */
public final class ManyEnds extends Script {
    private static final int JOBS = 11;
    private static final int TASKS = 60;
    private static final int RUN_MILLIS = 3_000;
    private static final long DOWN_MILLIS = 4_500;

    private ManyEnds(Cell cell, Record record) {
        super(cell, record);
    }

    public static void main(String[] arguments) {
        run(arguments, ManyEnds::new);
    }

    @Override
    boolean play(boolean trouble) throws Exception {
        TwiceJudge judge = new TwiceJudge(record);
        start(judge, 2);
        // A first job warms the daemons up.
        submit(0, job(20, 200));
        Thread.sleep(1_500);
        List<Integer> accepted = new ArrayList<>();
        for (int i = 1; i <= JOBS; i++) {
            if (submit(i, job(TASKS, RUN_MILLIS)) == 200) {
                accepted.add(i);
            }
            Thread.sleep(60);
        }
        if (accepted.size() < JOBS) {
            throw new IllegalStateException("only " + accepted.size() + " jobs were accepted");
        }
        Thread.sleep(1_600);
        if (trouble) {
            record.line("the store goes down");
            cell.store.setDown(true);
            Thread.sleep(DOWN_MILLIS);
            cell.store.setDown(false);
            record.line("the store is back");
        }
        for (int i : accepted) {
            awaitDone(i);
        }
        Thread.sleep(2_000);
        copyLogs("task-gone");
        return judge.isBroken();
    }

    private static String job(int tasks, int millis) {
        return "{\"spec\":\"" + millis + "\",\"steps\":[{\"count\":" + tasks + ",\"cpu\":45,\"mem_mb\":128,\"est_ms\":"
                + millis + "}]}";
    }

    private void awaitDone(int number) throws Exception {
        for (int i = 0; i < 60; i++) {
            Cell.Reply reply = cell.call(cell.daemons.get(i % DAEMONS), "GET", "/q/" + id(number), "");
            if (reply.body().contains("done")) {
                record.line("GET %s: %d %s", id(number), reply.status(), reply.body());
                return;
            }
            Thread.sleep(300);
        }
        record.line("job %s is not done", id(number));
    }
}
