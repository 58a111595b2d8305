package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.CommitResult;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerReport;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Deterministic simulation of entries with the real reducer, a store and workers, driven by a seed.
 * Answers are delayed or lost, commands are carried out late, entries crash or freeze, and workers
 * restart or are partitioned. The invariants are checked whenever a run starts.
 */
final class Simulation {
    private static final int TICK_MILLIS = 20;
    static final int ATTEMPTS = 3;
    static final String QUEUE = "q";
    static final String TEAM = "t";
    private static final Resources TEAM_LIMIT = Resources.of(40_000, 0, 0);

    /** An action at a given time; {@code sequence} breaks ties. */
    private record Timer(long at, long sequence, Runnable action) {}

    final SplittableRandom random;
    final CellConfiguration config;
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingLong(Timer::at).thenComparingLong(Timer::sequence));
    final List<SimulatedEntry> entries = new ArrayList<>();
    final Map<String, SimulatedWorker> workers = new HashMap<>();
    final Set<String> partitionedWorkers = new HashSet<>();
    final Map<String, WorkflowDefinition> submittedDefinitions = new HashMap<>();
    final SimulatedStore store = new SimulatedStore();
    final SimulatedCallers callers = new SimulatedCallers(this);
    final SafetyChecker safetyChecker = new SafetyChecker(this);
    private final List<CommandOutcome> lateOutcomes = new ArrayList<>();
    private long now = 1;
    private long nextActionSequence;
    boolean storeDown;
    boolean faultsDisabled;

    Simulation(long seed, int entryCount, int workerCount) {
        this(seed, entryCount, workerCount, configuration(TEAM_LIMIT));
    }

    Simulation(long seed, int entryCount, int workerCount, CellConfiguration configuration) {
        random = new SplittableRandom(seed);
        this.config = configuration;
        for (int i = 0; i < entryCount; i++) {
            entries.add(new SimulatedEntry("e" + i));
        }
        for (int i = 0; i < workerCount; i++) {
            WorkerNode.Listing listing =
                    new WorkerNode.Listing(
                            "w" + i,
                            "s",
                            "w" + i + ":1",
                            "z",
                            false,
                            Resources.of(16_000, 64_000, 0),
                            List.of("a", "r" + i % 2),
                            "r" + i % 2);
            workers.put(listing.id(), new SimulatedWorker(this, listing));
        }
        entries.forEach(e -> after(0, () -> startEntry(e)));
    }

    long now() {
        return now;
    }

    List<String> violations() {
        return safetyChecker.violations();
    }

    void after(long delay, Runnable action) {
        timers.add(new Timer(now + delay, nextActionSequence++, action));
    }

    void run(long millis) {
        long end = now + millis;
        while (!timers.isEmpty() && timers.peek().at() <= end) {
            Timer next = timers.poll();
            now = Math.max(now, next.at());
            next.action().run();
        }
        now = end;
    }

    static CellConfiguration configuration(Resources limit) {
        CellConfiguration.Queue queue =
                new CellConfiguration.Queue(
                        QUEUE, "h", "/q/", "s", 0, ATTEMPTS, 3_000, 2, 400, true, Optional.empty());
        return new CellConfiguration(
                1,
                List.of(queue),
                List.of(new CellConfiguration.Service("s", false)),
                List.of(new CellConfiguration.Team(TEAM, List.of(), 50, limit)),
                100_000);
    }

    private void tick(SimulatedEntry entry, int boot) {
        if (entry.boot == boot) {
            post(entry, boot, new WorkflowEvent.Tick(now, now));
            after(TICK_MILLIS, () -> tick(entry, boot));
        }
    }

    private void watchLeader(SimulatedEntry entry, int boot) {
        if (entry.boot != boot) {
            return;
        }
        if (!storeDown && !entry.partitionedFromStore && entry.frozenUntil <= now) {
            long sentAt = now;
            boolean alive = store.leader().map(this::isAlive).orElse(false);
            Optional<LeaderRecord> recordRead =
                    store.leader()
                            .map(
                                    l ->
                                            new LeaderRecord(
                                                    l.entry(),
                                                    l.address(),
                                                    l.term(),
                                                    l.revision(),
                                                    alive));
            after(
                    latency(),
                    () -> post(entry, boot, new WorkflowEvent.LeaderRead(now, sentAt, recordRead)));
            sendHeartbeat(entry, boot, alive);
        }
        after(200, () -> watchLeader(entry, boot));
    }

    private void sendHeartbeat(SimulatedEntry entry, int boot, boolean alive) {
        if (store.leader().isPresent() && alive) {
            boolean leaderReachesStore = !entryOf(store.leader().get()).partitionedFromStore;
            post(
                    entry,
                    boot,
                    new WorkflowEvent.LeaderSignalReceived(
                            now,
                            store.leader().get().address(),
                            leaderReachesStore
                                    ? WorkflowEvent.LeaderSignal.HEARTBEAT
                                    : WorkflowEvent.LeaderSignal.HEARTBEAT_WITHOUT_STORE));
        }
    }

    private SimulatedEntry entryOf(LeaderRecord record) {
        return entries.stream().filter(e -> e.id.equals(record.entry())).findFirst().orElseThrow();
    }

    private boolean isAlive(LeaderRecord record) {
        SimulatedEntry entry = entryOf(record);
        return entry.frozenUntil < now && entry.state.leadership().leads();
    }

    private void listWorkers(SimulatedEntry entry, int boot) {
        if (entry.boot != boot) {
            return;
        }
        PMap<String, WorkerNode.Listing> listings = HashTreePMap.empty();
        for (SimulatedWorker worker : workers.values()) {
            listings = listings.plus(worker.listing.id(), worker.listing);
        }
        post(entry, boot, new WorkflowEvent.WorkersListed(now, listings));
        after(500, () -> listWorkers(entry, boot));
    }

    private long latency() {
        return 1 + random.nextInt(randomly(0.05) ? 1_500 : 20);
    }

    private boolean randomly(double probability) {
        return !faultsDisabled && random.nextDouble() < probability;
    }

    void post(SimulatedEntry entry, int boot, WorkflowEvent event) {
        if (entry.boot != boot) {
            return;
        }
        if (entry.frozenUntil > now) {
            after(entry.frozenUntil - now, () -> post(entry, boot, event));
            return;
        }
        if (now - entry.state.now() > 100) {
            // As the real control loop does, tick before handling the first event after a pause.
            reduce(entry, boot, new WorkflowEvent.Tick(now, now));
        }
        reduce(entry, boot, event);
    }

    private void reduce(SimulatedEntry entry, int boot, WorkflowEvent event) {
        WorkflowTransition next = WorkflowReducer.reduce(entry.state, event);
        entry.state = next.state();
        next.effects().forEach(e -> execute(entry, boot, e));
    }

    private void execute(SimulatedEntry entry, int boot, WorkflowEffect effect) {
        switch (effect) {
            case WorkflowEffect.Claim e -> claim(entry, boot, e);
            case WorkflowEffect.Commit e -> commit(entry, boot, e);
            case WorkflowEffect.RenewLease e -> renewLease(entry, boot, e);
            case WorkflowEffect.Start e -> start(entry, boot, e);
            case WorkflowEffect.Stop e -> stop(entry, boot, e);
            case WorkflowEffect.Answer e -> callers.answered(e);
            case WorkflowEffect.LeaderChanged e -> {}
            case WorkflowEffect.Resign e -> {}
            case WorkflowEffect.AnnounceSuccession e -> {}
            case WorkflowEffect.RequestAdvice e -> {}
            case WorkflowEffect.LogEvent e -> {}
        }
    }

    private void claim(SimulatedEntry entry, int boot, WorkflowEffect.Claim claim) {
        after(
                latency(),
                () -> {
                    boolean storeReachable = !storeDown && !entry.partitionedFromStore;
                    WorkflowEvent.ClaimResult result =
                            storeReachable
                                    ? store.claim(claim, entry.id)
                                    : new WorkflowEvent.ClaimResult.NotWon();
                    if (result instanceof WorkflowEvent.ClaimResult.Won) {
                        notifyReplaced(entry);
                    }
                    claimCompleted(entry, boot, result);
                });
    }

    /** Notifies all other entries, and so the former leader, of the new leader record. */
    private void notifyReplaced(SimulatedEntry winner) {
        Optional<LeaderRecord> record = store.leader();
        for (SimulatedEntry other : entries) {
            int boot = other.boot;
            if (other != winner) {
                after(
                        latency(),
                        () -> post(other, boot, new WorkflowEvent.LeaderRead(now, now, record)));
            }
        }
    }

    private void claimCompleted(SimulatedEntry entry, int boot, WorkflowEvent.ClaimResult result) {
        after(latency(), () -> post(entry, boot, new WorkflowEvent.ClaimCompleted(now, result)));
    }

    private void commit(SimulatedEntry entry, int boot, WorkflowEffect.Commit commit) {
        boolean late = randomly(0.02);
        after(
                late ? 2_000 + random.nextInt(3_000) : latency(),
                () -> write(entry, boot, commit, late));
        if (late) {
            commitCompleted(entry, boot, commit, new CommitResult.Retry());
        }
    }

    private void write(
            SimulatedEntry entry, int boot, WorkflowEffect.Commit commit, boolean dropAnswer) {
        boolean storeReachable = !storeDown && !entry.partitionedFromStore;
        CommitResult result = storeReachable ? store.write(commit) : new CommitResult.Retry();
        boolean lost = result instanceof CommitResult.Stored && randomly(0.03);
        if (!dropAnswer) {
            commitCompleted(entry, boot, commit, lost ? new CommitResult.Retry() : result);
        }
    }

    private void commitCompleted(
            SimulatedEntry entry, int boot, WorkflowEffect.Commit commit, CommitResult result) {
        long delayMillis = result instanceof CommitResult.Retry ? 100 : latency();
        after(
                delayMillis,
                () ->
                        post(
                                entry,
                                boot,
                                new WorkflowEvent.CommitCompleted(
                                        now, commit.leaderRevision(), commit.batch(), result)));
    }

    /** Returns whether a call is lost because the worker has restarted since the last call. */
    private boolean isBroken(SimulatedEntry entry, String worker) {
        long incarnation = workers.get(worker).incarnation();
        Long previousIncarnation = entry.workerConnections.put(worker, incarnation);
        return previousIncarnation != null && previousIncarnation != incarnation;
    }

    private void renewLease(SimulatedEntry entry, int boot, WorkflowEffect.RenewLease renewal) {
        String id = renewal.worker().id();
        long sentAt = now;
        boolean broken = isBroken(entry, id);
        boolean lost = partitionedWorkers.contains(id) || randomly(0.02) || broken;
        long incarnation = workers.get(id).incarnation();
        if (lost) {
            boolean arrives = !broken && randomly(0.5);
            if (arrives) {
                after(latency(), () -> renewWithoutAnswer(workers.get(id), incarnation, renewal));
            }
            after(
                    1_000 + renewal.maxWaitMillis(),
                    () -> renewalFailed(entry, boot, renewal, CommandOutcome.UNKNOWN));
            return;
        }
        after(
                latency() + Math.min(renewal.maxWaitMillis(), 200),
                () -> {
                    if (workers.get(id).incarnation() != incarnation) {
                        renewalFailed(entry, boot, renewal, CommandOutcome.UNKNOWN);
                        return;
                    }
                    WorkerReport report = workers.get(id).renewLease(renewal);
                    after(
                            latency(),
                            () -> {
                                if (report == null) {
                                    renewalFailed(entry, boot, renewal, CommandOutcome.FENCED);
                                } else {
                                    post(
                                            entry,
                                            boot,
                                            new WorkflowEvent.LeaseRenewalAnswered(
                                                    now, renewal.fence(), sentAt, id, report));
                                }
                            });
                });
    }

    private static void renewWithoutAnswer(
            SimulatedWorker worker, long incarnation, WorkflowEffect.RenewLease renewal) {
        if (worker.incarnation() == incarnation) {
            worker.renewLease(renewal);
        }
    }

    private void renewalFailed(
            SimulatedEntry entry,
            int boot,
            WorkflowEffect.RenewLease renewal,
            CommandOutcome outcome) {
        post(
                entry,
                boot,
                new WorkflowEvent.LeaseRenewalFailed(
                        now, renewal.fence(), renewal.worker().id(), outcome));
    }

    private void start(SimulatedEntry entry, int boot, WorkflowEffect.Start start) {
        SimulatedWorker worker = workers.get(start.worker().id());
        WorkflowDefinition job = submittedDefinitions.get(start.command().task().job());
        StepDefinition step = job.steps().get(start.command().task().step());
        long durationMillis = 100 + random.nextInt(1_500);
        RunOutcome outcome = random.nextInt(6) == 0 ? RunOutcome.FAILED : RunOutcome.DONE;
        sendCommand(
                entry,
                boot,
                start.command(),
                start.fence(),
                worker,
                () -> worker.start(start, step.size(), durationMillis, outcome));
    }

    private void stop(SimulatedEntry entry, int boot, WorkflowEffect.Stop stop) {
        SimulatedWorker worker = workers.get(stop.worker().id());
        sendCommand(entry, boot, stop.command(), stop.fence(), worker, () -> worker.stop(stop));
    }

    private void sendCommand(
            SimulatedEntry entry,
            int boot,
            WorkflowEvent.WorkerCommand command,
            long fence,
            SimulatedWorker worker,
            java.util.function.Supplier<CommandOutcome> action) {
        boolean partitioned = partitionedWorkers.contains(worker.listing.id());
        boolean late = randomly(0.05);
        long incarnation = worker.incarnation();
        if (partitioned || late) {
            if (late) {
                // The command is carried out up to seconds later, possibly after newer commands,
                // unless the worker has restarted.
                after(
                        500 + random.nextInt(6_000),
                        () -> {
                            if (worker.incarnation() == incarnation) {
                                lateOutcomes.add(action.get());
                            }
                        });
            }
            after(700, () -> post(entry, boot, completed(command, fence, CommandOutcome.UNKNOWN)));
            return;
        }
        after(
                latency(),
                () -> {
                    // The connection breaks when the worker restarts.
                    boolean broken = worker.incarnation() != incarnation;
                    CommandOutcome outcome = broken ? CommandOutcome.UNKNOWN : action.get();
                    boolean lost = randomly(0.02);
                    after(
                            lost ? 700 : latency(),
                            () ->
                                    post(
                                            entry,
                                            boot,
                                            completed(
                                                    command,
                                                    fence,
                                                    lost ? CommandOutcome.UNKNOWN : outcome)));
                });
    }

    private WorkflowEvent completed(
            WorkflowEvent.WorkerCommand command, long fence, CommandOutcome outcome) {
        return new WorkflowEvent.CommandCompleted(now, fence, command, outcome);
    }

    /** Posts an event to the entry that leads, if there is one. */
    void postToLeader(WorkflowEvent event) {
        leading().ifPresent(e -> post(e, e.boot, event));
    }

    Optional<SimulatedEntry> leading() {
        return entries.stream()
                .filter(e -> e.state.leadership().leads() && e.frozenUntil < now)
                .filter(e -> store.leader().map(l -> l.entry().equals(e.id)).orElse(false))
                .findFirst();
    }

    /** Starts an entry, for the first time or after a crash. */
    void startEntry(SimulatedEntry entry) {
        int boot = entry.boot;
        entry.state = WorkflowState.initial(entry.id, 1_000);
        post(entry, boot, new WorkflowEvent.ConfigurationRead(now, now, Optional.of(config)));
        tick(entry, boot);
        watchLeader(entry, boot);
        listWorkers(entry, boot);
    }
}
