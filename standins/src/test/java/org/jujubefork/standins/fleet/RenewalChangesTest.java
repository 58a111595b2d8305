package org.jujubefork.standins.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.worker.LeaseResult;
import org.jujubefork.client.worker.RunningTask;
import org.jujubefork.client.worker.WorkerClient;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.standins.history.HistorySink;
import org.jujubefork.standins.http.Call;
import org.jujubefork.standins.http.Reply;
import org.jujubefork.standins.http.StandinServer;
import org.testng.annotations.Test;

/**
 * Guards against an owner that loses or keeps tasks wrongly (P2) because renewals are answered with
 * changes only.
 */
public final class RenewalChangesTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Duration TTL = Duration.ofMinutes(10);
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final Epoch FIRST = Fleets.epoch(1, "entry-1");
    private static final WorkerTransitions RULES = new WorkerTransitions(false);

    private WorkerState state;
    private ObjectNode answer;

    private void apply(WorkerCommand command) {
        state = RULES.apply(state, command, 1).state();
    }

    private void start(String id) {
        apply(
                new WorkerCommand.Start(
                        FIRST,
                        state.incarnation(),
                        Fleets.task(id, WorkKind.SERVICE, ""),
                        TaskBehavior.parse(new byte[0])));
    }

    /** Renews with the revision {@code seen} and returns that of the answer. */
    private long renew(long seen) {
        apply(new WorkerCommand.Renew(FIRST, 30 * SECOND, List.of(), seen));
        answer =
                WorkerReport.renewal(
                        new SimulatedWorker.Applied(state, new WorkerOutcome.Accepted(), 1), seen);
        return answer.path("revision").asLong();
    }

    private long lease(Epoch epoch) {
        apply(new WorkerCommand.Lease(epoch, 30 * SECOND));
        return state.log().revision();
    }

    private void assertFull(int tasks) {
        assertFalse(answer.has("since"), answer.toString());
        assertEquals(answer.path("running").size(), tasks);
    }

    private void assertChanges(int started, int gone) {
        assertTrue(answer.has("since"), answer.toString());
        assertEquals(answer.path("running").size(), started);
        assertEquals(answer.path("gone").size(), gone);
    }

    @Test
    public void revisionThatIsNotKnownLeadsToAFullAnswer() {
        state = WorkerState.initial(Fleets.worker("w1"), 1);
        long leased = lease(FIRST);
        start("a");
        long first = renew(leased);
        assertChanges(1, 0);
        start("b");
        apply(new WorkerCommand.Stop(FIRST, TaskId.of("a")));
        assertEquals(renew(first), renew(first), "a lost answer must be repeated");
        assertChanges(1, 1);
        long second = renew(first);
        renew(second);
        assertChanges(0, 0);
        renew(first);
        assertFull(1);
        renew(second + 100);
        assertFull(1);
        renew(0);
        assertFull(1);
    }

    @Test
    public void revisionFromBeforeALeaseOrARestartLeadsToAFullAnswer() {
        state = WorkerState.initial(Fleets.worker("w1"), 1);
        lease(FIRST);
        start("a");
        long before = renew(0);
        lease(FIRST);
        renew(before);
        assertFull(1);
        long last = renew(0);
        apply(new WorkerCommand.Restart());
        lease(FIRST);
        for (long seen = 0; seen <= last; seen++) {
            renew(seen);
            assertFull(0);
        }
    }

    @Test
    public void usageIsListedAgainFromTheStepOrAtANewPeak() {
        state = WorkerState.initial(Fleets.worker("w1"), 1);
        long seen = lease(FIRST);
        start("a");
        seen = renew(seen);
        // The declared size is 1,000 thousandths of a core, so the step is 50.
        seen = throttle(seen, 950, false);
        seen = throttle(seen, 949, true);
        seen = throttle(seen, 999, false);
        seen = throttle(seen, 1_000, true);
        throttle(seen, 1_000, false);
    }

    private long throttle(long seen, long cpuMillis, boolean listed) {
        apply(new WorkerCommand.Throttle(FIRST, TaskId.of("a"), cpuMillis));
        long result = renew(seen);
        assertEquals(answer.path("usage").size(), listed ? 1 : 0, cpuMillis + ": " + answer);
        return result;
    }

    /** One worker behind a server that loses some of its answers. */
    private static final class LossyWorker implements AutoCloseable {
        private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
        private final AtomicBoolean lose = new AtomicBoolean();
        private final AtomicInteger partial = new AtomicInteger();
        private final WorkerHttp http = new WorkerHttp();
        private final SimulatedWorker worker =
                new SimulatedWorker(
                        WorkerState.initial(Fleets.worker("w1"), 1),
                        RULES,
                        HistorySink.NONE,
                        timer);
        private final StandinServer server;

        LossyWorker() throws Exception {
            server = StandinServer.start(0, this::handle);
        }

        private Reply handle(Call call) throws InterruptedException {
            Reply reply = http.handle(worker, call);
            if (reply instanceof Reply.Body body
                    && new String(body.bytes(), java.nio.charset.StandardCharsets.UTF_8)
                            .contains("\"since\"")) {
                partial.incrementAndGet();
            }
            return lose.getAndSet(false) ? new Reply.Drop() : reply;
        }

        @Override
        public void close() {
            server.close();
            timer.shutdownNow();
        }
    }

    /** Random starts, ends, restarts, leases and lost answers. */
    @Test
    public void changesGiveTheSameViewAsFullAnswers() throws Exception {
        for (long seed = 1; seed <= 6; seed++) {
            try (LossyWorker lossy = new LossyWorker();
                    Transport transport = Transport.create(Duration.ofSeconds(10))) {
                new RandomRun(seed, lossy, transport).run();
            }
        }
    }

    private static final class RandomRun {
        private final SplittableRandom random;
        private final String what;
        private final LossyWorker lossy;
        private final Transport transport;
        private final WorkerClient owner;
        private final Address address;
        private final List<String> started = new ArrayList<>();
        private Epoch epoch = FIRST;
        private long incarnation;
        private int compared;

        RandomRun(long seed, LossyWorker lossy, Transport transport) {
            this.random = new SplittableRandom(seed);
            this.what = "seed " + seed;
            this.lossy = lossy;
            this.transport = transport;
            this.owner = new WorkerClient(transport);
            this.address = Address.of(StandinServer.HOST, lossy.server.port());
        }

        void run() {
            lease();
            for (int i = 0; i < 400; i++) {
                step(i);
            }
            assertTrue(compared > 100, what + ": only " + compared + " comparisons");
            assertTrue(lossy.partial.get() > 50, what + ": " + lossy.partial + " partial answers");
        }

        private void step(int i) {
            switch (random.nextInt(14)) {
                case 0, 1, 2, 3 -> start("t" + i);
                case 4, 5 -> owner.stop(address, epoch, any(), LONG);
                case 6 -> owner.throttle(address, epoch, any(), random.nextInt(1_000), LONG);
                case 7 -> loseRenewal();
                case 8 -> {
                    if (random.nextInt(8) == 0) {
                        lossy.worker.apply(new WorkerCommand.Restart());
                    }
                }
                case 9 -> {
                    if (random.nextInt(4) == 0) {
                        epoch = Fleets.epoch(epoch.number() + random.nextInt(2), "entry-1");
                        lease();
                    }
                }
                default -> renew();
            }
        }

        private void start(String id) {
            owner.start(
                    address,
                    epoch,
                    incarnation,
                    Fleets.task(id, WorkKind.SERVICE, Resources.of(1_000, 10, 0), ""),
                    LONG);
            started.add(id);
        }

        private TaskId any() {
            return TaskId.of(
                    started.isEmpty() ? "none" : started.get(random.nextInt(started.size())));
        }

        private void loseRenewal() {
            lossy.lose.set(true);
            LeaseResult lost = owner.renew(address, epoch, TTL, List.of(), LONG);
            assertTrue(lost instanceof LeaseResult.Unknown, what + ": " + lost);
        }

        private void lease() {
            incarnation =
                    ((LeaseResult.Granted) owner.lease(address, epoch, TTL, LONG)).incarnation();
        }

        private void renew() {
            LeaseResult seen = owner.renew(address, epoch, TTL, List.of(), LONG);
            if (seen instanceof LeaseResult.NoLease) {
                lease();
                return;
            }
            // A client without a view always gets a full answer.
            LeaseResult full =
                    new WorkerClient(transport).renew(address, epoch, TTL, List.of(), LONG);
            assertEquals(view(seen), view(full), what);
            compared++;
        }

        private Map<TaskId, List<Object>> view(LeaseResult result) {
            assertTrue(result instanceof LeaseResult.Granted, what + ": " + result);
            Map<TaskId, List<Object>> tasks = new HashMap<>();
            for (RunningTask task : ((LeaseResult.Granted) result).running()) {
                tasks.put(task.spec().id(), List.of(task.spec(), task.usage()));
            }
            return tasks;
        }
    }
}
