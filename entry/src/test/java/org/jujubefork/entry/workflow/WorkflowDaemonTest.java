package org.jujubefork.entry.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration;
import org.jujubefork.core.workflow.Evacuations;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.SchedulingPolicies;
import org.jujubefork.core.workflow.SilentWorkers;
import org.jujubefork.core.workflow.StepDefinition;
import org.jujubefork.core.workflow.StepKey;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowDefinition;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.core.workflow.WorkflowEvent.Call;
import org.jujubefork.core.workflow.WorkflowEvent.ClaimResult;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.CommitResult;
import org.jujubefork.entry.control.Clock;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/**
 * Guards against an entry that stops working for good after one unexpected error of a dependency: a
 * watch that ends, a claim, a commit or a call to a worker that never has an outcome.
 */
public final class WorkflowDaemonTest {
    private static final String QUEUE = "q";
    private static final String JOB = "0123456789abcdef";
    private static final long CALL_TIMEOUT_MILLIS = 10_000;

    /** Long enough for the stop of the start whose outcome was unknown, and the next start. */
    private static final long START_TIMEOUT_MILLIS = 15_000;

    /** Throws an unexpected error at the first use of each operation. */
    private static final class FirstCallFails {
        private final Set<String> used = ConcurrentHashMap.newKeySet();

        void check(String operation) {
            if (used.add(operation)) {
                throw new IllegalStateException("unexpected error of " + operation);
            }
        }

        Set<String> used() {
            return used;
        }
    }

    /** A store in memory for one entry. */
    private static class Store implements WorkflowStore {
        private final FirstCallFails failures;
        private final AtomicLong revision = new AtomicLong(1);
        private volatile Optional<LeaderRecord> leader = Optional.empty();

        Store(FirstCallFails failures) {
            this.failures = failures;
        }

        @Override
        public ClaimResult claimLeadership(
                WorkflowEffect.Claim claim, String entry, String address) {
            failures.check("claim");
            LeaderRecord record =
                    new LeaderRecord(
                            entry, address, claim.term(), revision.incrementAndGet(), true);
            leader = Optional.of(record);
            return new ClaimResult.Won(
                    record,
                    new WorkflowEvent.Snapshot(
                            List.of(), List.of(), List.of(), SilentWorkers.NONE));
        }

        @Override
        public void renewLeaderLease(LeaderRecord record) {
            failures.check("lease");
        }

        @Override
        public CommitResult commit(WorkflowEffect.Commit commit) {
            failures.check("commit");
            return new CommitResult.Stored(revision.incrementAndGet());
        }

        @Override
        public Watch<Optional<LeaderRecord>> watchLeader() {
            return maxWait -> {
                failures.check("watch-leader");
                sleep(maxWait);
                return leader;
            };
        }

        @Override
        public Watch<OperatorRecords> watchOperators() {
            return maxWait -> {
                failures.check("watch-configuration");
                sleep(maxWait);
                return OperatorRecords.of(Optional.of(configuration()));
            };
        }

        @Override
        public Watch<PMap<String, WorkerNode.Listing>> watchWorkers() {
            return maxWait -> {
                failures.check("watch-workers");
                sleep(maxWait);
                return HashTreePMap.singleton("w", listing());
            };
        }

        private static void sleep(Duration maxWait) throws InterruptedException {
            Thread.sleep(Math.min(100, maxWait.toMillis()));
        }
    }

    /** A worker that runs everything and never ends it. */
    private static final class Worker implements WorkerApi {
        private final FirstCallFails failures;
        private final List<WorkflowEvent.RunningRun> runs = new CopyOnWriteArrayList<>();

        Worker(FirstCallFails failures) {
            this.failures = failures;
        }

        @Override
        public LeaseRenewalResult renewLease(WorkflowEffect.RenewLease renewal) {
            failures.check("renewal");
            sleep();
            return new LeaseRenewalResult(
                    CommandOutcome.OK,
                    Optional.of(
                            new WorkflowEvent.WorkerReport(
                                    1,
                                    Clock.SYSTEM.millis(),
                                    TreePVector.from(runs),
                                    TreePVector.empty(),
                                    true)));
        }

        @Override
        public CommandOutcome start(WorkflowEffect.Start start) {
            failures.check("start");
            runs.add(
                    new WorkflowEvent.RunningRun(
                            start.command().task(), start.command().runNumber(), "", 100));
            return CommandOutcome.OK;
        }

        @Override
        public CommandOutcome stop(WorkflowEffect.Stop stop) {
            failures.check("stop");
            return CommandOutcome.OK;
        }

        private static void sleep() {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static CellConfiguration configuration() {
        return new CellConfiguration(
                1,
                List.of(
                        new CellConfiguration.Queue(
                                QUEUE,
                                "h",
                                "/q/",
                                "s",
                                0,
                                3,
                                3_000,
                                2,
                                400,
                                true,
                                Optional.of(new CellConfiguration.AdviceSettings(1, 1, 60_000)))),
                List.of(new CellConfiguration.Service("s", false)),
                List.of(),
                100_000);
    }

    private static WorkerNode.Listing listing() {
        return new WorkerNode.Listing(
                "w", "s", "w:1", "z", false, Resources.of(4_000, 4_000, 0), List.of(), "", 1);
    }

    private static WorkflowDefinition job() {
        return new WorkflowDefinition(
                "p",
                List.of(
                        new StepDefinition(
                                1,
                                Resources.of(1_000, 100, 0),
                                60_000,
                                List.of(),
                                false,
                                false,
                                "",
                                "",
                                0,
                                false,
                                false,
                                false,
                                false)),
                0,
                0,
                0);
    }

    private static HostPort freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        }
    }

    private static WorkflowDaemon start(
            WorkflowStore store, WorkerApi workers, AdviceClient advice, LogEventWriter logWriter)
            throws IOException {
        return start(freeAddress(), store, workers, advice, logWriter);
    }

    private static WorkflowDaemon start(
            HostPort address,
            WorkflowStore store,
            WorkerApi workers,
            AdviceClient advice,
            LogEventWriter logWriter)
            throws IOException {
        return WorkflowDaemon.start(
                new WorkflowDaemon.Setup(
                        "e",
                        1_000,
                        address,
                        Clock.SYSTEM,
                        store,
                        workers,
                        advice,
                        logWriter,
                        SchedulingPolicies.DEFAULT,
                        Evacuations.NONE));
    }

    private static PrintStream noOutput() {
        return new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
    }

    /**
     * Guards against a call that is held until its time limit although no leader can take it, so
     * that its caller has no time for another attempt.
     */
    @Test
    public void callIsRefusedInTimeWithoutLeader() throws Exception {
        FirstCallFails failures = new FirstCallFails();
        WorkflowStore store =
                new Store(failures) {
                    @Override
                    public ClaimResult claimLeadership(
                            WorkflowEffect.Claim claim, String entry, String address) {
                        return new ClaimResult.NotWon();
                    }
                };
        try (LogEventWriter logWriter = LogEventWriter.start(noOutput(), e -> {});
                WorkflowDaemon daemon =
                        start(
                                store,
                                new Worker(failures),
                                (s, w, t) -> Optional.empty(),
                                logWriter)) {
            long timeLimitMillis = 2_000;
            long startedAt = Clock.SYSTEM.millis();
            CallGateway.Outcome outcome =
                    daemon.gateway().call(new Call.Submit(QUEUE, "", JOB, job()), timeLimitMillis);
            long heldMillis = Clock.SYSTEM.millis() - startedAt;
            assertEquals(outcome, new CallGateway.Outcome.NotRun());
            assertTrue(heldMillis < timeLimitMillis / 2, "held for " + heldMillis + " ms");
        }
    }

    private static void awaitLeadership(WorkflowDaemon daemon) throws InterruptedException {
        long deadline = Clock.SYSTEM.millis() + START_TIMEOUT_MILLIS;
        while (!daemon.state().leadership().leads() && Clock.SYSTEM.millis() < deadline) {
            Thread.sleep(10);
        }
        assertTrue(daemon.state().leadership().leads(), "the entry does not lead");
    }

    /**
     * Guards against an entry that follows a resigned leader until the leader's process has ended,
     * because it has connected after the announcement.
     */
    @Test
    public void followerThatConnectsLaterLearnsOfResignation() throws Exception {
        FirstCallFails failures = new FirstCallFails();
        HostPort address = freeAddress();
        try (LogEventWriter logWriter = LogEventWriter.start(noOutput(), e -> {});
                WorkflowDaemon daemon =
                        start(
                                address,
                                new Store(failures),
                                new Worker(failures),
                                (s, w, t) -> Optional.empty(),
                                logWriter)) {
            awaitLeadership(daemon);
            daemon.resign();
            while (!daemon.state().leadership().resigning()) {
                Thread.sleep(10);
            }
            try (Socket socket = new Socket(address.host(), address.port())) {
                socket.setSoTimeout(2_000);
                new LinkMessage.Hello("f", 1_000)
                        .writeTo(new DataOutputStream(socket.getOutputStream()));
                DataInputStream input = new DataInputStream(socket.getInputStream());
                List<LinkMessage> received = new ArrayList<>();
                for (int i = 0; i < 4; i++) {
                    received.add(LinkMessage.readFrom(input));
                }
                assertTrue(
                        received.contains(new LinkMessage.LeaderResigned()),
                        "received " + received);
            }
        }
    }

    /**
     * Guards against a caller whose connection ends without an answer, because its call is still
     * waiting when the process ends.
     */
    @Test
    public void closedGatewayEndsAllCalls() throws Exception {
        FirstCallFails failures = new FirstCallFails();
        WorkflowStore store =
                new Store(failures) {
                    @Override
                    public CommitResult commit(WorkflowEffect.Commit commit) {
                        return new CommitResult.Retry();
                    }
                };
        try (LogEventWriter logWriter = LogEventWriter.start(noOutput(), e -> {});
                WorkflowDaemon daemon =
                        start(
                                store,
                                new Worker(failures),
                                (s, w, t) -> Optional.empty(),
                                logWriter)) {
            awaitLeadership(daemon);
            CompletableFuture<CallGateway.Outcome> waiting = new CompletableFuture<>();
            Call call = new Call.Submit(QUEUE, "", JOB, job());
            Thread.ofVirtual()
                    .start(
                            () -> {
                                try {
                                    waiting.complete(daemon.gateway().call(call, 60_000));
                                } catch (InterruptedException e) {
                                    waiting.completeExceptionally(e);
                                }
                            });
            while (daemon.state().commitQueue().inFlight().isEmpty()) {
                Thread.sleep(10);
            }
            daemon.gateway().close();
            assertEquals(
                    waiting.get(1, TimeUnit.SECONDS),
                    new CallGateway.Outcome.Unknown(),
                    "a call that the store may have carried out");
            assertEquals(daemon.gateway().call(call, 60_000), new CallGateway.Outcome.NotRun());
        }
    }

    @Test
    public void entryOutlivesUnexpectedErrors() throws Exception {
        FirstCallFails failures = new FirstCallFails();
        Worker worker = new Worker(failures);
        AdviceClient advice =
                (StepKey step, List<String> workers, Duration timeout) -> {
                    failures.check("advice");
                    return Optional.of(Map.of("w", "ticket"));
                };
        try (LogEventWriter logWriter = LogEventWriter.start(noOutput(), e -> {});
                WorkflowDaemon daemon = start(new Store(failures), worker, advice, logWriter)) {
            long deadline = Clock.SYSTEM.millis() + START_TIMEOUT_MILLIS;
            CallGateway.Outcome outcome = new CallGateway.Outcome.NotRun();
            while (outcome instanceof CallGateway.Outcome.NotRun
                    && Clock.SYSTEM.millis() < deadline) {
                outcome =
                        daemon.gateway()
                                .call(new Call.Submit(QUEUE, "", JOB, job()), CALL_TIMEOUT_MILLIS);
            }
            assertEquals(
                    outcome, new CallGateway.Outcome.Answered(new WorkflowEffect.Reply.Done()));
            while (worker.runs.isEmpty() && Clock.SYSTEM.millis() < deadline) {
                Thread.sleep(50);
            }
            assertEquals(worker.runs.size(), 1, "runs of the task; used: " + failures.used());
            assertTrue(
                    failures.used()
                            .containsAll(
                                    Set.of(
                                            "claim",
                                            "lease",
                                            "commit",
                                            "watch-leader",
                                            "watch-configuration",
                                            "watch-workers",
                                            "renewal",
                                            "start",
                                            "stop",
                                            "advice")),
                    "operations that failed once: " + failures.used());
        }
    }
}
