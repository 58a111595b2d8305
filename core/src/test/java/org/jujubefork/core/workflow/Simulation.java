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
 * Answers are delayed and lost, commands are carried out late, entries crash and freeze, workers
 * restart and are partitioned. The invariants are checked whenever a run starts.
 */
final class Simulation {
    private static final int TICK_MILLIS = 20;
    static final int ATTEMPTS = 3;
    static final String QUEUE = "q";
    static final String TEAM = "t";
    private static final Resources TEAM_LIMIT = Resources.of(40_000, 0, 0);

    /** An action at a given time; {@code sequence} breaks ties. */
    private record ScheduledAction(long at, long sequence, Runnable action) {}

    final SplittableRandom random;
    private final CellConfiguration configuration;
    private final PriorityQueue<ScheduledAction> scheduled =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledAction::at)
                            .thenComparingLong(ScheduledAction::sequence));
    final List<SimulatedEntry> entries = new ArrayList<>();
    final Map<String, SimulatedWorker> workers = new HashMap<>();
    final Set<String> partitionedWorkers = new HashSet<>();
    final Map<String, WorkflowDefinition> submitted = new HashMap<>();
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
        this.configuration = configuration;
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
        entries.forEach(e -> schedule(0, () -> startEntry(e)));
    }

    long now() {
        return now;
    }

    List<String> violations() {
        return safetyChecker.violations();
    }

    void schedule(long delay, Runnable action) {
        scheduled.add(new ScheduledAction(now + delay, nextActionSequence++, action));
    }

    void run(long millis) {
        long end = now + millis;
        while (!scheduled.isEmpty() && scheduled.peek().at() <= end) {
            ScheduledAction next = scheduled.poll();
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

    private void tick(SimulatedEntry entry, int entryIncarnation) {
        if (entry.incarnation == entryIncarnation) {
            post(entry, entryIncarnation, new WorkflowEvent.Tick(now, now));
            schedule(TICK_MILLIS, () -> tick(entry, entryIncarnation));
        }
    }

    private void watchLeader(SimulatedEntry entry, int entryIncarnation) {
        if (entry.incarnation != entryIncarnation) {
            return;
        }
        if (!storeDown && !entry.partitionedFromStore && entry.frozenUntil <= now) {
            long sentAt = now;
            boolean alive = store.leader().map(this::isAlive).orElse(false);
            Optional<LeaderRecord> read =
                    store.leader()
                            .map(
                                    l ->
                                            new LeaderRecord(
                                                    l.entry(),
                                                    l.address(),
                                                    l.term(),
                                                    l.revision(),
                                                    alive));
            schedule(
                    randomDelay(),
                    () ->
                            post(
                                    entry,
                                    entryIncarnation,
                                    new WorkflowEvent.LeaderRead(now, sentAt, read)));
            sendHeartbeat(entry, entryIncarnation, alive);
        }
        schedule(200, () -> watchLeader(entry, entryIncarnation));
    }

    private void sendHeartbeat(SimulatedEntry entry, int entryIncarnation, boolean alive) {
        if (store.leader().isPresent() && alive) {
            boolean inContact = !entryOf(store.leader().get()).partitionedFromStore;
            post(
                    entry,
                    entryIncarnation,
                    new WorkflowEvent.LeaderSignalReceived(
                            now,
                            store.leader().get().address(),
                            inContact
                                    ? WorkflowEvent.LeaderSignal.ALIVE
                                    : WorkflowEvent.LeaderSignal.WITHOUT_STORE));
        }
    }

    private SimulatedEntry entryOf(LeaderRecord record) {
        return entries.stream()
                .filter(e -> e.name.equals(record.entry()))
                .findFirst()
                .orElseThrow();
    }

    private boolean isAlive(LeaderRecord record) {
        SimulatedEntry entry = entryOf(record);
        return entry.frozenUntil < now && entry.state.leadership().leads();
    }

    private void listWorkers(SimulatedEntry entry, int entryIncarnation) {
        if (entry.incarnation != entryIncarnation) {
            return;
        }
        PMap<String, WorkerNode.Listing> all = HashTreePMap.empty();
        for (SimulatedWorker worker : workers.values()) {
            all = all.plus(worker.listing.id(), worker.listing);
        }
        post(entry, entryIncarnation, new WorkflowEvent.WorkersListed(now, all));
        schedule(500, () -> listWorkers(entry, entryIncarnation));
    }

    private long randomDelay() {
        return 1 + random.nextInt(withProbability(0.05) ? 1_500 : 20);
    }

    private boolean withProbability(double probability) {
        return !faultsDisabled && random.nextDouble() < probability;
    }

    void post(SimulatedEntry entry, int entryIncarnation, WorkflowEvent event) {
        if (entry.incarnation != entryIncarnation) {
            return;
        }
        if (entry.frozenUntil > now) {
            schedule(entry.frozenUntil - now, () -> post(entry, entryIncarnation, event));
            return;
        }
        if (now - entry.state.now() > 100) {
            // The control loop ticks before it handles the first event after a pause.
            reduce(entry, entryIncarnation, new WorkflowEvent.Tick(now, now));
        }
        reduce(entry, entryIncarnation, event);
    }

    private void reduce(SimulatedEntry entry, int entryIncarnation, WorkflowEvent event) {
        WorkflowTransition next = WorkflowReducer.reduce(entry.state, event);
        entry.state = next.state();
        next.effects().forEach(e -> execute(entry, entryIncarnation, e));
    }

    private void execute(SimulatedEntry entry, int entryIncarnation, WorkflowEffect effect) {
        switch (effect) {
            case WorkflowEffect.Claim e -> claim(entry, entryIncarnation, e);
            case WorkflowEffect.Commit e -> commit(entry, entryIncarnation, e);
            case WorkflowEffect.RenewLease e -> renewLease(entry, entryIncarnation, e);
            case WorkflowEffect.Start e -> start(entry, entryIncarnation, e);
            case WorkflowEffect.Stop e -> stop(entry, entryIncarnation, e);
            case WorkflowEffect.Answer e -> callers.answered(e);
            case WorkflowEffect.LeaderChanged e -> {}
            case WorkflowEffect.Resign e -> {}
            case WorkflowEffect.RequestAdvice e -> {}
            case WorkflowEffect.LogEvent e -> {}
        }
    }

    private void claim(SimulatedEntry entry, int entryIncarnation, WorkflowEffect.Claim claim) {
        schedule(
                randomDelay(),
                () -> {
                    boolean storeReachable = !storeDown && !entry.partitionedFromStore;
                    WorkflowEvent.ClaimResult result =
                            storeReachable
                                    ? store.claim(claim, entry.name)
                                    : new WorkflowEvent.ClaimResult.NotWon();
                    if (result instanceof WorkflowEvent.ClaimResult.Won) {
                        notifyReplaced(entry);
                    }
                    claimCompleted(entry, entryIncarnation, result);
                });
    }

    /** The followers tell a former leader that it was replaced. */
    private void notifyReplaced(SimulatedEntry winner) {
        Optional<LeaderRecord> record = store.leader();
        for (SimulatedEntry other : entries) {
            int entryIncarnation = other.incarnation;
            if (other != winner) {
                schedule(
                        randomDelay(),
                        () ->
                                post(
                                        other,
                                        entryIncarnation,
                                        new WorkflowEvent.LeaderRead(now, now, record)));
            }
        }
    }

    private void claimCompleted(
            SimulatedEntry entry, int entryIncarnation, WorkflowEvent.ClaimResult result) {
        schedule(
                randomDelay(),
                () -> post(entry, entryIncarnation, new WorkflowEvent.ClaimCompleted(now, result)));
    }

    private void commit(SimulatedEntry entry, int entryIncarnation, WorkflowEffect.Commit commit) {
        boolean late = withProbability(0.02);
        schedule(
                late ? 2_000 + random.nextInt(3_000) : randomDelay(),
                () -> write(entry, entryIncarnation, commit, late));
        if (late) {
            commitCompleted(entry, entryIncarnation, commit, new CommitResult.Retry());
        }
    }

    private void write(
            SimulatedEntry entry,
            int entryIncarnation,
            WorkflowEffect.Commit commit,
            boolean dropAnswer) {
        boolean storeReachable = !storeDown && !entry.partitionedFromStore;
        CommitResult result = storeReachable ? store.write(commit) : new CommitResult.Retry();
        boolean lost = result instanceof CommitResult.Stored && withProbability(0.03);
        if (!dropAnswer) {
            commitCompleted(
                    entry, entryIncarnation, commit, lost ? new CommitResult.Retry() : result);
        }
    }

    private void commitCompleted(
            SimulatedEntry entry,
            int entryIncarnation,
            WorkflowEffect.Commit commit,
            CommitResult result) {
        long pause = result instanceof CommitResult.Retry ? 100 : randomDelay();
        schedule(
                pause,
                () ->
                        post(
                                entry,
                                entryIncarnation,
                                new WorkflowEvent.CommitCompleted(
                                        now, commit.leaderRevision(), commit.batch(), result)));
    }

    /**
     * Returns whether the connection to a worker has broken because the worker restarted. The first
     * call on a broken connection is lost.
     */
    private boolean isBroken(SimulatedEntry entry, String worker) {
        long workerIncarnation = workers.get(worker).incarnation();
        Long known = entry.workerConnections.put(worker, workerIncarnation);
        return known != null && known != workerIncarnation;
    }

    private void renewLease(
            SimulatedEntry entry, int entryIncarnation, WorkflowEffect.RenewLease renewal) {
        String id = renewal.worker().id();
        long sentAt = now;
        boolean broken = isBroken(entry, id);
        boolean lost = partitionedWorkers.contains(id) || withProbability(0.02) || broken;
        long workerIncarnation = workers.get(id).incarnation();
        if (lost) {
            boolean arrives = !broken && withProbability(0.5);
            if (arrives) {
                schedule(
                        randomDelay(),
                        () -> renewWithoutAnswer(workers.get(id), workerIncarnation, renewal));
            }
            schedule(
                    1_000 + renewal.maxWaitMillis(),
                    () -> renewalFailed(entry, entryIncarnation, renewal, CommandOutcome.UNKNOWN));
            return;
        }
        schedule(
                randomDelay() + Math.min(renewal.maxWaitMillis(), 200),
                () -> {
                    if (workers.get(id).incarnation() != workerIncarnation) {
                        renewalFailed(entry, entryIncarnation, renewal, CommandOutcome.UNKNOWN);
                        return;
                    }
                    WorkerReport report = workers.get(id).renewLease(renewal);
                    schedule(
                            randomDelay(),
                            () -> {
                                if (report == null) {
                                    renewalFailed(
                                            entry,
                                            entryIncarnation,
                                            renewal,
                                            CommandOutcome.FENCED);
                                } else {
                                    post(
                                            entry,
                                            entryIncarnation,
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
            int entryIncarnation,
            WorkflowEffect.RenewLease renewal,
            CommandOutcome outcome) {
        post(
                entry,
                entryIncarnation,
                new WorkflowEvent.LeaseRenewalFailed(
                        now, renewal.fence(), renewal.worker().id(), outcome));
    }

    private void start(SimulatedEntry entry, int entryIncarnation, WorkflowEffect.Start start) {
        SimulatedWorker worker = workers.get(start.worker().id());
        WorkflowDefinition job = submitted.get(start.command().task().job());
        StepDefinition step = job.steps().get(start.command().task().step());
        long durationMillis = 100 + random.nextInt(1_500);
        RunOutcome outcome = random.nextInt(6) == 0 ? RunOutcome.FAILED : RunOutcome.DONE;
        sendCommand(
                entry,
                entryIncarnation,
                start.command(),
                start.fence(),
                worker,
                () -> worker.start(start, step.size(), durationMillis, outcome));
    }

    private void stop(SimulatedEntry entry, int entryIncarnation, WorkflowEffect.Stop stop) {
        SimulatedWorker worker = workers.get(stop.worker().id());
        sendCommand(
                entry,
                entryIncarnation,
                stop.command(),
                stop.fence(),
                worker,
                () -> worker.stop(stop));
    }

    private void sendCommand(
            SimulatedEntry entry,
            int entryIncarnation,
            WorkflowEvent.WorkerCommand command,
            long fence,
            SimulatedWorker worker,
            java.util.function.Supplier<CommandOutcome> action) {
        boolean partitioned = partitionedWorkers.contains(worker.listing.id());
        boolean late = withProbability(0.05);
        long workerIncarnation = worker.incarnation();
        if (partitioned || late) {
            if (late) {
                // Carried out seconds later, after newer commands, unless the worker has restarted.
                schedule(
                        500 + random.nextInt(6_000),
                        () -> {
                            if (worker.incarnation() == workerIncarnation) {
                                lateOutcomes.add(action.get());
                            }
                        });
            }
            schedule(
                    700,
                    () ->
                            post(
                                    entry,
                                    entryIncarnation,
                                    commandCompleted(command, fence, CommandOutcome.UNKNOWN)));
            return;
        }
        schedule(
                randomDelay(),
                () -> {
                    // The connection breaks when the worker restarts.
                    boolean broken = worker.incarnation() != workerIncarnation;
                    CommandOutcome outcome = broken ? CommandOutcome.UNKNOWN : action.get();
                    boolean lost = withProbability(0.02);
                    schedule(
                            lost ? 700 : randomDelay(),
                            () ->
                                    post(
                                            entry,
                                            entryIncarnation,
                                            commandCompleted(
                                                    command,
                                                    fence,
                                                    lost ? CommandOutcome.UNKNOWN : outcome)));
                });
    }

    private WorkflowEvent commandCompleted(
            WorkflowEvent.WorkerCommand command, long fence, CommandOutcome outcome) {
        return new WorkflowEvent.CommandCompleted(now, fence, command, outcome);
    }

    /** Posts an event to the entry that leads, if there is one. */
    void postToLeader(WorkflowEvent event) {
        leading().ifPresent(e -> post(e, e.incarnation, event));
    }

    Optional<SimulatedEntry> leading() {
        return entries.stream()
                .filter(e -> e.state.leadership().leads() && e.frozenUntil < now)
                .filter(e -> store.leader().map(l -> l.entry().equals(e.name)).orElse(false))
                .findFirst();
    }

    /** Starts an entry, for the first time or after a crash. */
    void startEntry(SimulatedEntry entry) {
        int entryIncarnation = entry.incarnation;
        entry.state = WorkflowState.initial(entry.name);
        post(
                entry,
                entryIncarnation,
                new WorkflowEvent.ConfigurationRead(now, now, Optional.of(configuration)));
        tick(entry, entryIncarnation);
        watchLeader(entry, entryIncarnation);
        listWorkers(entry, entryIncarnation);
    }
}
