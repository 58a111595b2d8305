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
 * Entries with a real reducer around a store and workers in memory, driven by a seed: answers are
 * delayed and lost, orders are carried out late, entries die and freeze, workers restart and are
 * cut off. Safety is checked at each start.
 */
final class Simulation {
    private static final int TICK = 20;
    static final int ATTEMPTS = 3;
    static final String QUEUE = "q";
    static final String TEAM = "t";
    private static final Resources LIMIT = Resources.of(40_000, 0, 0);

    /** Something that happens at a time. */
    private record Due(long at, long order, Runnable action) {}

    final SplittableRandom random;
    private final CellConfiguration configuration;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    final List<SimulatedEntry> nodes = new ArrayList<>();
    final Map<String, SimulatedWorker> workers = new HashMap<>();
    final Set<String> cutWorkers = new HashSet<>();
    final Map<String, WorkflowDefinition> submitted = new HashMap<>();
    final SimulatedStore store = new SimulatedStore();
    final SimulatedCallers callers = new SimulatedCallers(this);
    final SafetyChecker safety = new SafetyChecker(this);
    private final List<CommandOutcome> lateOutcomes = new ArrayList<>();
    private long now = 1;
    private long sequence;
    boolean storeDown;
    boolean calm;

    Simulation(long seed, int entries, int workerCount) {
        this(seed, entries, workerCount, configuration(LIMIT));
    }

    Simulation(long seed, int entries, int workerCount, CellConfiguration configuration) {
        random = new SplittableRandom(seed);
        this.configuration = configuration;
        for (int i = 0; i < entries; i++) {
            nodes.add(new SimulatedEntry("e" + i));
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
        nodes.forEach(n -> at(0, () -> boot(n)));
    }

    long now() {
        return now;
    }

    List<String> violations() {
        return safety.violations();
    }

    void at(long delay, Runnable action) {
        due.add(new Due(now + delay, sequence++, action));
    }

    void run(long millis) {
        long end = now + millis;
        while (!due.isEmpty() && due.peek().at() <= end) {
            Due next = due.poll();
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

    private void tick(SimulatedEntry node, int life) {
        if (node.life == life) {
            post(node, life, new WorkflowEvent.Tick(now, now));
            at(TICK, () -> tick(node, life));
        }
    }

    private void watchLeader(SimulatedEntry node, int life) {
        if (node.life != life) {
            return;
        }
        if (!storeDown && !node.cutFromStore && node.frozenUntil <= now) {
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
            at(delay(), () -> post(node, life, new WorkflowEvent.LeaderRead(now, sentAt, read)));
            heartbeat(node, life, alive);
        }
        at(200, () -> watchLeader(node, life));
    }

    private void heartbeat(SimulatedEntry node, int life, boolean alive) {
        if (store.leader().isPresent() && alive) {
            boolean inContact = !nodeOf(store.leader().get()).cutFromStore;
            post(
                    node,
                    life,
                    new WorkflowEvent.LeaderSignalReceived(
                            now,
                            store.leader().get().address(),
                            inContact
                                    ? WorkflowEvent.LeaderSignal.ALIVE
                                    : WorkflowEvent.LeaderSignal.WITHOUT_STORE));
        }
    }

    private SimulatedEntry nodeOf(LeaderRecord record) {
        return nodes.stream().filter(n -> n.name.equals(record.entry())).findFirst().orElseThrow();
    }

    private boolean isAlive(LeaderRecord record) {
        SimulatedEntry node = nodeOf(record);
        return node.frozenUntil < now && node.state.leadership().leads();
    }

    private void list(SimulatedEntry node, int life) {
        if (node.life != life) {
            return;
        }
        PMap<String, WorkerNode.Listing> all = HashTreePMap.empty();
        for (SimulatedWorker worker : workers.values()) {
            all = all.plus(worker.listing.id(), worker.listing);
        }
        post(node, life, new WorkflowEvent.WorkersListed(now, all));
        at(500, () -> list(node, life));
    }

    private long delay() {
        return 1 + random.nextInt(chance(0.05) ? 1_500 : 20);
    }

    private boolean chance(double share) {
        return !calm && random.nextDouble() < share;
    }

    void post(SimulatedEntry node, int life, WorkflowEvent event) {
        if (node.life != life) {
            return;
        }
        if (node.frozenUntil > now) {
            at(node.frozenUntil - now, () -> post(node, life, event));
            return;
        }
        if (now - node.state.now() > 100) {
            // The control loop ticks before it takes the first event after a pause.
            reduce(node, life, new WorkflowEvent.Tick(now, now));
        }
        reduce(node, life, event);
    }

    private void reduce(SimulatedEntry node, int life, WorkflowEvent event) {
        WorkflowTransition next = WorkflowReducer.reduce(node.state, event);
        node.state = next.state();
        next.effects().forEach(e -> execute(node, life, e));
    }

    private void execute(SimulatedEntry node, int life, WorkflowEffect effect) {
        switch (effect) {
            case WorkflowEffect.Claim e -> claim(node, life, e);
            case WorkflowEffect.Commit e -> commit(node, life, e);
            case WorkflowEffect.RenewLease e -> hold(node, life, e);
            case WorkflowEffect.Start e -> start(node, life, e);
            case WorkflowEffect.Stop e -> stop(node, life, e);
            case WorkflowEffect.Answer e -> callers.answered(e);
            case WorkflowEffect.LeaderChanged e -> {}
            case WorkflowEffect.Resign e -> {}
            case WorkflowEffect.Advise e -> {}
            case WorkflowEffect.LogEvent e -> {}
        }
    }

    private void claim(SimulatedEntry node, int life, WorkflowEffect.Claim claim) {
        at(
                delay(),
                () -> {
                    boolean open = !storeDown && !node.cutFromStore;
                    WorkflowEvent.ClaimResult result =
                            open
                                    ? store.claim(claim, node.name)
                                    : new WorkflowEvent.ClaimResult.NotWon();
                    if (result instanceof WorkflowEvent.ClaimResult.Won) {
                        tellReplaced(node);
                    }
                    claimEnded(node, life, result);
                });
    }

    /** Followers tell a leader that it was replaced. */
    private void tellReplaced(SimulatedEntry winner) {
        Optional<LeaderRecord> record = store.leader();
        for (SimulatedEntry other : nodes) {
            int life = other.life;
            if (other != winner) {
                at(
                        delay(),
                        () -> post(other, life, new WorkflowEvent.LeaderRead(now, now, record)));
            }
        }
    }

    private void claimEnded(SimulatedEntry node, int life, WorkflowEvent.ClaimResult result) {
        at(delay(), () -> post(node, life, new WorkflowEvent.ClaimCompleted(now, result)));
    }

    private void commit(SimulatedEntry node, int life, WorkflowEffect.Commit commit) {
        boolean late = chance(0.02);
        at(late ? 2_000 + random.nextInt(3_000) : delay(), () -> write(node, life, commit, late));
        if (late) {
            commitEnded(node, life, commit, new CommitResult.Retry());
        }
    }

    private void write(
            SimulatedEntry node, int life, WorkflowEffect.Commit commit, boolean silent) {
        boolean open = !storeDown && !node.cutFromStore;
        CommitResult result = open ? store.write(commit) : new CommitResult.Retry();
        boolean lost = result instanceof CommitResult.Stored && chance(0.03);
        if (!silent) {
            commitEnded(node, life, commit, lost ? new CommitResult.Retry() : result);
        }
    }

    private void commitEnded(
            SimulatedEntry node, int life, WorkflowEffect.Commit commit, CommitResult result) {
        long pause = result instanceof CommitResult.Retry ? 100 : delay();
        at(
                pause,
                () ->
                        post(
                                node,
                                life,
                                new WorkflowEvent.CommitCompleted(
                                        now, commit.leaderRevision(), commit.batch(), result)));
    }

    /** The connection to a worker breaks when it restarts; the call that meets it is lost. */
    private boolean isBroken(SimulatedEntry node, String worker) {
        long born = workers.get(worker).born();
        Long known = node.connections.put(worker, born);
        return known != null && known != born;
    }

    private void hold(SimulatedEntry node, int life, WorkflowEffect.RenewLease hold) {
        String id = hold.worker().id();
        long sentAt = now;
        boolean broken = isBroken(node, id);
        boolean lost = cutWorkers.contains(id) || chance(0.02) || broken;
        long born = workers.get(id).born();
        if (lost) {
            boolean arrives = !broken && chance(0.5);
            if (arrives) {
                at(delay(), () -> arriveUnanswered(workers.get(id), born, hold));
            }
            at(
                    1_000 + hold.waitMillis(),
                    () -> holdFailed(node, life, hold, CommandOutcome.UNKNOWN));
            return;
        }
        at(
                delay() + Math.min(hold.waitMillis(), 200),
                () -> {
                    if (workers.get(id).born() != born) {
                        holdFailed(node, life, hold, CommandOutcome.UNKNOWN);
                        return;
                    }
                    WorkerReport report = workers.get(id).hold(hold);
                    at(
                            delay(),
                            () -> {
                                if (report == null) {
                                    holdFailed(node, life, hold, CommandOutcome.FENCED);
                                } else {
                                    post(
                                            node,
                                            life,
                                            new WorkflowEvent.LeaseRenewalAnswered(
                                                    now, hold.fence(), sentAt, id, report));
                                }
                            });
                });
    }

    private static void arriveUnanswered(
            SimulatedWorker worker, long born, WorkflowEffect.RenewLease hold) {
        if (worker.born() == born) {
            worker.hold(hold);
        }
    }

    private void holdFailed(
            SimulatedEntry node, int life, WorkflowEffect.RenewLease hold, CommandOutcome outcome) {
        post(
                node,
                life,
                new WorkflowEvent.LeaseRenewalFailed(
                        now, hold.fence(), hold.worker().id(), outcome));
    }

    private void start(SimulatedEntry node, int life, WorkflowEffect.Start start) {
        SimulatedWorker worker = workers.get(start.worker().id());
        WorkflowDefinition job = submitted.get(start.order().task().job());
        StepDefinition step = job.steps().get(start.order().task().step());
        long millis = 100 + random.nextInt(1_500);
        RunOutcome how = random.nextInt(6) == 0 ? RunOutcome.FAILED : RunOutcome.DONE;
        order(
                node,
                life,
                start.order(),
                start.fence(),
                worker,
                () -> worker.start(start, step.size(), millis, how));
    }

    private void stop(SimulatedEntry node, int life, WorkflowEffect.Stop stop) {
        SimulatedWorker worker = workers.get(stop.worker().id());
        order(node, life, stop.order(), stop.fence(), worker, () -> worker.stop(stop));
    }

    private void order(
            SimulatedEntry node,
            int life,
            WorkflowEvent.WorkerCommand order,
            long fence,
            SimulatedWorker worker,
            java.util.function.Supplier<CommandOutcome> action) {
        boolean cut = cutWorkers.contains(worker.listing.id());
        boolean late = chance(0.05);
        long born = worker.born();
        if (cut || late) {
            if (late) {
                // Carried out seconds later, after newer calls, unless the worker has died with it.
                at(
                        500 + random.nextInt(6_000),
                        () -> {
                            if (worker.born() == born) {
                                lateOutcomes.add(action.get());
                            }
                        });
            }
            at(700, () -> post(node, life, ended(order, fence, CommandOutcome.UNKNOWN)));
            return;
        }
        at(
                delay(),
                () -> {
                    // The connection breaks when the worker restarts.
                    boolean broken = worker.born() != born;
                    CommandOutcome outcome = broken ? CommandOutcome.UNKNOWN : action.get();
                    boolean lost = chance(0.02);
                    at(
                            lost ? 700 : delay(),
                            () ->
                                    post(
                                            node,
                                            life,
                                            ended(
                                                    order,
                                                    fence,
                                                    lost ? CommandOutcome.UNKNOWN : outcome)));
                });
    }

    private WorkflowEvent ended(
            WorkflowEvent.WorkerCommand order, long fence, CommandOutcome outcome) {
        return new WorkflowEvent.CommandCompleted(now, fence, order, outcome);
    }

    /** Posts an event to the entry that leads, if there is one. */
    void postToLeader(WorkflowEvent event) {
        leading().ifPresent(n -> post(n, n.life, event));
    }

    Optional<SimulatedEntry> leading() {
        return nodes.stream()
                .filter(n -> n.state.leadership().leads() && n.frozenUntil < now)
                .filter(n -> store.leader().map(l -> l.entry().equals(n.name)).orElse(false))
                .findFirst();
    }

    /** Starts an entry again after a kill. */
    void boot(SimulatedEntry node) {
        int life = node.life;
        node.state = WorkflowState.initial(node.name);
        post(node, life, new WorkflowEvent.ConfigurationRead(now, now, Optional.of(configuration)));
        tick(node, life);
        watchLeader(node, life);
        list(node, life);
    }
}
