package org.jujubefork.bench.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration;
import org.jujubefork.core.workflow.Evacuations;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.SchedulingPolicies;
import org.jujubefork.core.workflow.SilentWorkers;
import org.jujubefork.core.workflow.StepKey;
import org.jujubefork.core.workflow.TaskKey;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowDefinition;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.jujubefork.core.workflow.WorkflowReducer;
import org.jujubefork.core.workflow.WorkflowState;
import org.jujubefork.core.workflow.WorkflowTransition;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Runs one leader against emulated workers, store and advice service. Time is simulated; what the
 * reducer takes is measured, multiplied by a factor for a slower processor, and delays the events
 * that follow, as the control thread does.
 */
final class LeaderEmulator {
    private static final Resources WORKER_CAPACITY = Resources.of(32_000, 131_072, 0);
    private static final int WORKERS_PER_RACK = 20;
    private static final String TEAM = "team";
    private static final long CALL_MILLIS = 3;
    private static final long STORE_MILLIS = 8;
    private static final long FIRST_REVISION = 10;
    static final long WALL_OFFSET_MILLIS = 1_700_000_000_000L;

    /** Time before the first job, in which the leader reaches the workers. */
    private static final long WARM_UP_MILLIS = 1_000;

    /** Minimum time between two ticks as a multiple of a tick's duration, as in the real loop. */
    private static final double TICK_GAP_FACTOR = 2;

    /**
     * The size and the load of an emulated cell.
     *
     * @param seed the seed of the load
     * @param workerCount the number of workers
     * @param entryCount the number of entries, which send the advice requests
     * @param kinds the jobs that are submitted
     * @param loadFactor factor of the rates of the kinds
     * @param slowdown factor of the measured processor time of the reducer; 0 for none
     * @param seconds how long jobs are submitted
     * @param policies the scheduling policies of the leader
     */
    record Setup(
            long seed,
            int workerCount,
            int entryCount,
            List<JobKind> kinds,
            double loadFactor,
            double slowdown,
            int seconds,
            SchedulingPolicies policies) {}

    /** An action at a simulated time; {@code sequence} breaks ties. */
    private record Timer(double at, long sequence, Runnable action) {}

    private final Setup setup;
    private final SplittableRandom random;
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::sequence));
    private final Map<String, EmulatedWorker> workers = new HashMap<>();
    private final Map<String, WorkflowDefinition> definitions = new HashMap<>();
    private final Map<String, Double> advisorsFreeAt = new HashMap<>();
    private final LeaderReport.Builder report;
    private WorkflowState state;
    private double now = 1_000;
    private double nextTickAt;
    private long nextSequence;
    private long revision = FIRST_REVISION;

    private LeaderEmulator(Setup setup) {
        this.setup = setup;
        this.state = WorkflowState.initial("e0", 1_000, setup.policies(), Evacuations.NONE);
        this.random = new SplittableRandom(setup.seed());
        this.report = new LeaderReport.Builder(setup);
        this.state = WorkflowState.initial("e0", 1_000, setup.policies(), Evacuations.NONE);
    }

    /** Runs the emulation and returns what was measured. */
    static LeaderReport run(Setup setup) {
        LeaderEmulator emulator = new LeaderEmulator(setup);
        emulator.start();
        emulator.runUntil(WARM_UP_MILLIS + setup.seconds() * 1_000.0);
        return emulator.report.build(emulator.state, (long) emulator.now);
    }

    private void start() {
        for (int i = 0; i < setup.workerCount(); i++) {
            String rack = "r" + i / WORKERS_PER_RACK;
            WorkerNode.Listing listing =
                    new WorkerNode.Listing(
                            "w" + i,
                            JobKind.SERVICE,
                            "w" + i + ":1",
                            "z",
                            false,
                            WORKER_CAPACITY,
                            List.of(rack),
                            rack,
                            EmulatedWorker.INCARNATION);
            workers.put(listing.id(), new EmulatedWorker(listing));
        }
        post(new WorkflowEvent.ConfigurationRead(time(), time(), Optional.of(configuration())));
        LeaderRecord record = new LeaderRecord("e0", "e0:1", 1, revision, true);
        post(
                new WorkflowEvent.ClaimCompleted(
                        time(),
                        new WorkflowEvent.ClaimResult.Won(
                                record,
                                new WorkflowEvent.Snapshot(
                                        List.of(), List.of(), List.of(), SilentWorkers.NONE))));
        post(new WorkflowEvent.FollowersChanged(time(), followers()));
        listWorkers();
        confirmLeadership();
        for (JobKind kind : setup.kinds()) {
            after(WARM_UP_MILLIS, () -> submitNext(kind));
        }
    }

    private CellConfiguration configuration() {
        return new CellConfiguration(
                1,
                setup.kinds().stream().map(JobKind::queue).toList(),
                List.of(new CellConfiguration.Service(JobKind.SERVICE, false)),
                List.of(new CellConfiguration.Team(TEAM, List.of(), 1_000, Resources.ZERO)),
                100_000);
    }

    private PMap<String, Integer> followers() {
        PMap<String, Integer> followers = HashTreePMap.empty();
        for (int i : IntStream.range(1, setup.entryCount()).toArray()) {
            followers = followers.plus("e" + i, 1_000);
        }
        return followers;
    }

    private long time() {
        return Math.round(now);
    }

    private void after(double millis, Runnable action) {
        timers.add(new Timer(now + millis, nextSequence++, action));
    }

    private void runUntil(double end) {
        double limit = now + end;
        while (now < limit) {
            double tickAt = Math.max(nextTickAt, state.nextTickAt());
            if (timers.isEmpty() || timers.peek().at() >= tickAt) {
                now = Math.max(now, tickAt);
                tick();
            } else {
                Timer next = timers.poll();
                now = Math.max(now, next.at());
                next.action().run();
            }
        }
    }

    private void tick() {
        double startedAt = now;
        post(new WorkflowEvent.Tick(time(), WALL_OFFSET_MILLIS + time()));
        nextTickAt = now + Math.max(1, TICK_GAP_FACTOR * (now - startedAt));
    }

    private void post(WorkflowEvent event) {
        long startNanos = System.nanoTime();
        WorkflowTransition transition = WorkflowReducer.reduce(state, event);
        long nanos = System.nanoTime() - startNanos;
        report.addEvent(event, nanos);
        state = transition.state();
        now += nanos / 1e6 * setup.slowdown();
        transition.effects().forEach(this::execute);
    }

    private void execute(WorkflowEffect effect) {
        switch (effect) {
            case WorkflowEffect.RenewLease e -> renewLease(e);
            case WorkflowEffect.Start e -> after(CALL_MILLIS, () -> startRun(e));
            case WorkflowEffect.Stop e -> after(CALL_MILLIS, () -> stopRun(e));
            case WorkflowEffect.Commit e -> after(STORE_MILLIS, () -> store(e));
            case WorkflowEffect.RequestAdvice e -> requestAdvice(e);
            case WorkflowEffect.LogEvent e -> report.addLogEvent(e, time());
            default -> {}
        }
    }

    private void listWorkers() {
        PMap<String, WorkerNode.Listing> listings = HashTreePMap.empty();
        for (EmulatedWorker worker : workers.values()) {
            listings = listings.plus(worker.listing.id(), worker.listing);
        }
        if (now > 2 * WARM_UP_MILLIS) {
            report.addSample(state);
        }
        post(new WorkflowEvent.WorkersListed(time(), listings));
        after(400, this::listWorkers);
    }

    private void confirmLeadership() {
        long sentAt = time();
        after(
                STORE_MILLIS,
                () ->
                        post(
                                new WorkflowEvent.LeaderRead(
                                        time(), sentAt, state.leadership().leaderRecord())));
        after(500, this::confirmLeadership);
    }

    private void submitNext(JobKind kind) {
        double perSecond =
                kind.jobsPerSecond()
                        * setup.loadFactor()
                        * setup.workerCount()
                        / JobKind.REFERENCE_WORKER_COUNT;
        String id = String.format("%016x", definitions.size());
        WorkflowDefinition definition = kind.draw(random);
        definitions.put(id, definition);
        report.addSubmitted(id, kind, definition, time());
        post(
                new WorkflowEvent.CallArrived(
                        time(),
                        definitions.size(),
                        new WorkflowEvent.Call.Submit(kind.name(), TEAM, id, definition)));
        after(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond, () -> submitNext(kind));
    }

    private void renewLease(WorkflowEffect.RenewLease renewal) {
        EmulatedWorker worker = workers.get(renewal.worker().id());
        after(
                CALL_MILLIS,
                () -> {
                    worker.renew(renewal);
                    if (worker.hasEndedRuns() || renewal.maxWaitMillis() == 0) {
                        answerRenewal(worker);
                    }
                });
        after(
                CALL_MILLIS + renewal.maxWaitMillis(),
                () -> {
                    if (worker.isWaiting(renewal)) {
                        answerRenewal(worker);
                    }
                });
    }

    private void answerRenewal(EmulatedWorker worker) {
        Optional<WorkflowEffect.RenewLease> renewal = worker.takeRenewal();
        if (renewal.isEmpty()) {
            return;
        }
        long sentAt = time() - CALL_MILLIS;
        WorkflowEvent.WorkerReport answer = worker.report(time());
        after(
                CALL_MILLIS,
                () ->
                        post(
                                new WorkflowEvent.LeaseRenewalAnswered(
                                        time(),
                                        renewal.get().leaderFence(),
                                        sentAt,
                                        worker.listing.id(),
                                        answer)));
    }

    private void startRun(WorkflowEffect.Start start) {
        EmulatedWorker worker = workers.get(start.worker().id());
        TaskKey task = start.command().task();
        long runNumber = start.command().runNumber();
        worker.start(task, runNumber);
        WorkflowDefinition definition = definitions.get(task.job());
        long millis = definition.steps().get(task.step()).estimateMillis();
        report.addRunning(millis * definition.steps().get(task.step()).size().cpuMillis());
        after(millis, () -> endRun(worker, task, runNumber));
        commandCompleted(start.command(), start.leaderFence());
    }

    private void endRun(EmulatedWorker worker, TaskKey task, long runNumber) {
        if (worker.end(task, runNumber, RunOutcome.DONE)) {
            answerRenewal(worker);
        }
    }

    private void stopRun(WorkflowEffect.Stop stop) {
        EmulatedWorker worker = workers.get(stop.worker().id());
        WorkflowEvent.WorkerCommand command = stop.command();
        if (worker.end(command.task(), command.runNumber(), RunOutcome.STOPPED)) {
            answerRenewal(worker);
        }
        commandCompleted(command, stop.leaderFence());
    }

    private void commandCompleted(WorkflowEvent.WorkerCommand command, long fence) {
        after(
                CALL_MILLIS,
                () ->
                        post(
                                new WorkflowEvent.CommandCompleted(
                                        time(), fence, command, CommandOutcome.OK)));
    }

    private void store(WorkflowEffect.Commit commit) {
        post(
                new WorkflowEvent.CommitCompleted(
                        time(),
                        commit.leaderRevision(),
                        commit.batch(),
                        new WorkflowEvent.CommitResult.Stored(++revision)));
    }

    /** Processes the requests of one entry one after the other, as the service does. */
    private void requestAdvice(WorkflowEffect.RequestAdvice request) {
        double startAt = Math.max(now, advisorsFreeAt.getOrDefault(request.advisor(), 0.0));
        double endAt = startAt + request.costMillis();
        advisorsFreeAt.put(request.advisor(), endAt);
        report.addAdvice(request.costMillis(), startAt - now);
        after(
                endAt - now + 2 * CALL_MILLIS,
                () ->
                        post(
                                new WorkflowEvent.AdviceCompleted(
                                        time(),
                                        request.fence(),
                                        request.number(),
                                        Optional.of(tickets(request)))));
    }

    private Map<String, String> tickets(WorkflowEffect.RequestAdvice request) {
        double goodFraction = goodFraction(request.step());
        Map<String, String> tickets = new HashMap<>();
        List<String> good = new ArrayList<>();
        for (String worker : request.workers()) {
            SplittableRandom choice =
                    new SplittableRandom(31L * request.step().hashCode() + worker.hashCode());
            if (choice.nextDouble() < goodFraction) {
                good.add(worker);
            }
        }
        good.forEach(w -> tickets.put(w, "ticket"));
        return tickets;
    }

    private double goodFraction(StepKey step) {
        String queue =
                state.jobs().containsKey(step.job()) ? state.jobs().get(step.job()).queue() : "";
        return setup.kinds().stream()
                .filter(k -> k.name().equals(queue))
                .mapToDouble(JobKind::goodFraction)
                .findFirst()
                .orElse(1);
    }
}
