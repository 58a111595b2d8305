package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePVector;

/** A leader for tests. The test decides when and how each effect of the leader is answered. */
final class LeaderFixture {
    static final String SERVICE = "s";
    static final String QUEUE = "q";
    static final String TEAM = "t";

    /** When a fixture starts, in milliseconds of the monotonic clock. */
    static final long START_MILLIS = 100_000;

    private static final long TICK_MILLIS = 20;
    private static final long WALL_OFFSET_MILLIS = 1_700_000_000_000L;

    final List<WorkflowEffect> effects = new ArrayList<>();
    private final Map<String, WorkflowEffect.RenewLease> renewals = new HashMap<>();
    private final FixtureIncarnations incarnations = new FixtureIncarnations();
    private final List<WorkflowEffect.Commit> commits = new ArrayList<>();
    private WorkflowState state;
    private long now;
    private long revision = 10;
    private long nextRequestId = 1;
    private int takenAdviceRequestCount;
    private boolean isWorkerListRequested;

    /** Whether {@link #advance} answers requests to read the worker list. */
    boolean answersWorkerListRequests = true;

    private LeaderFixture(CellConfiguration configuration, WorkflowState initial) {
        state = initial;
        now = initial.now();
        post(new WorkflowEvent.ConfigurationRead(now, now, Optional.of(configuration)));
    }

    /**
     * Returns a fixture whose entry has become the leader and has read {@code snapshot} from the
     * store.
     */
    static LeaderFixture leading(CellConfiguration configuration, WorkflowEvent.Snapshot snapshot) {
        return leading(configuration, snapshot, SchedulingPolicies.DEFAULT);
    }

    /** Returns a fixture whose entry leads under {@code policies} and has read {@code snapshot}. */
    static LeaderFixture leading(
            CellConfiguration configuration,
            WorkflowEvent.Snapshot snapshot,
            SchedulingPolicies policies) {
        return leading(configuration, snapshot, initial(policies, Evacuations.NONE), 2);
    }

    private static WorkflowState initial(SchedulingPolicies policies, Evacuations evacuations) {
        return WorkflowState.initial("e0", 1_000, policies, evacuations).withTime(START_MILLIS);
    }

    /** Returns a fixture whose entry starts with {@code initial} and has become the leader. */
    static LeaderFixture leading(
            CellConfiguration configuration,
            WorkflowEvent.Snapshot snapshot,
            WorkflowState initial,
            long term) {
        LeaderFixture fixture = new LeaderFixture(configuration, initial);
        fixture.winClaim(snapshot, term);
        return fixture;
    }

    /** Returns a fixture whose entry has the configuration and does not lead yet. */
    static LeaderFixture following(CellConfiguration configuration, Evacuations evacuations) {
        return new LeaderFixture(configuration, initial(SchedulingPolicies.DEFAULT, evacuations));
    }

    /** Lets the entry claim leadership, and win with {@code snapshot} read from the store. */
    void winClaim(WorkflowEvent.Snapshot snapshot) {
        winClaim(snapshot, 2);
    }

    private void winClaim(WorkflowEvent.Snapshot snapshot, long term) {
        tick();
        LeaderRecord record = new LeaderRecord("e0", "e0", term, revision, true);
        post(
                new WorkflowEvent.ClaimCompleted(
                        now, new WorkflowEvent.ClaimResult.Won(record, snapshot)));
    }

    static CellConfiguration configuration(double weight) {
        return configuration(weight, Resources.ZERO);
    }

    /** Returns a configuration whose team has {@code weight} and {@code limit}. */
    static CellConfiguration configuration(double weight, Resources limit) {
        return configuration(weight, limit, Optional.empty());
    }

    /** Returns a configuration whose steps need advice. */
    static CellConfiguration configuration(AdviceSettings advice) {
        return configuration(50, Resources.ZERO, Optional.of(advice));
    }

    private static CellConfiguration configuration(
            double weight, Resources limit, Optional<AdviceSettings> advice) {
        CellConfiguration.Queue queue =
                new CellConfiguration.Queue(
                        QUEUE, "h", "/q/", SERVICE, 0, 3, 3_000, 2, 400, true, advice);
        return new CellConfiguration(
                1,
                List.of(queue),
                List.of(new CellConfiguration.Service(SERVICE, false)),
                List.of(new CellConfiguration.Team(TEAM, List.of(), weight, limit)),
                100_000);
    }

    static WorkerNode.Listing worker(String id) {
        return worker(id, false);
    }

    private static WorkerNode.Listing worker(String id, boolean draining) {
        return new WorkerNode.Listing(
                id,
                SERVICE,
                id + ":1",
                "z",
                draining,
                Resources.of(16_000, 64_000, 0),
                List.of(),
                "",
                FixtureIncarnations.FIRST);
    }

    /** Returns a job of one task of {@code cores} cores with an estimate of one second. */
    static WorkflowDefinition job(int cores) {
        return job(1, cores, false);
    }

    /**
     * Returns a job of {@code count} tasks of {@code cores} cores with an estimate of one second.
     */
    static WorkflowDefinition job(int count, int cores, boolean isGang) {
        Resources size = Resources.of(cores * 1_000L, 1_000, 0);
        return TestSteps.job(TestSteps.step(count, size, 1_000, List.of(), isGang));
    }

    /** Returns a job that an earlier leader accepted at {@code at}. */
    static Job acceptedJob(String id, WorkflowDefinition definition, long at) {
        return Job.submitted(
                        id,
                        QUEUE,
                        TEAM,
                        definition,
                        new Job.Acceptance(1, 0, WALL_OFFSET_MILLIS + at, true))
                .asStored();
    }

    WorkflowState state() {
        return state;
    }

    long now() {
        return now;
    }

    void post(WorkflowEvent event) {
        if (event instanceof WorkflowEvent.LeaseRenewalAnswered answer) {
            incarnations.answered(answer);
        }
        WorkflowTransition next = WorkflowReducer.reduce(state, event);
        state = next.state();
        for (WorkflowEffect effect : next.effects()) {
            effects.add(effect);
            if (effect instanceof WorkflowEffect.RenewLease renewal) {
                renewals.put(renewal.worker().id(), renewal);
            } else if (effect instanceof WorkflowEffect.Commit commit) {
                commits.add(commit);
            }
            isWorkerListRequested |= effect instanceof WorkflowEffect.ReadWorkerList;
        }
    }

    void tick() {
        post(new WorkflowEvent.Tick(now, WALL_OFFSET_MILLIS + now));
    }

    /** Advances the time by {@code millis}; the store confirms the leader at each tick. */
    void advance(long millis) {
        for (long end = now + millis; now < end; ) {
            now += TICK_MILLIS;
            confirm();
            if (isWorkerListRequested && answersWorkerListRequests) {
                isWorkerListRequested = false;
                list(incarnations.listed(state));
            }
            tick();
        }
    }

    /** Advances the time by {@code millis} while the store does not answer. */
    void advanceUnconfirmed(long millis) {
        for (long end = now + millis; now < end; ) {
            now += TICK_MILLIS;
            tick();
        }
    }

    /** Advances the time by {@code millis} without an event, as when the process is paused. */
    void pause(long millis) {
        now += millis;
        tick();
    }

    /**
     * Returns when each granted lease expires. The workers' clocks show the same time as the
     * leader's clock.
     */
    List<Long> leaseExpiries() {
        List<Long> expiries = new ArrayList<>();
        for (WorkflowEffect effect : effects) {
            if (effect instanceof WorkflowEffect.RenewLease renewal) {
                renewal.expiry().ifPresent(expiries::add);
            }
        }
        return expiries;
    }

    private void confirm() {
        if (state.leadership().leads()) {
            post(new WorkflowEvent.LeaderRead(now, now, state.leadership().leaderRecord()));
        }
    }

    /** Reports a worker list that contains {@code ids}. */
    void listWorkers(String... ids) {
        listDraining("", ids);
    }

    /** Reports a worker list that contains {@code ids}, of which {@code draining} drains. */
    void listDraining(String draining, String... ids) {
        list(incarnations.present(Stream.of(ids).map(id -> worker(id, id.equals(draining)))));
    }

    /** Reports {@code workers} as the worker list. */
    void list(List<WorkerNode.Listing> workers) {
        PMap<String, WorkerNode.Listing> listings = HashTreePMap.empty();
        for (WorkerNode.Listing worker : workers) {
            listings = listings.plus(worker.id(), worker);
        }
        post(new WorkflowEvent.WorkersListed(now, listings));
    }

    /**
     * Answers the lease renewal of {@code worker}, if one is in flight, with a report without runs.
     */
    void answerLeaseRenewal(String worker) {
        answerLeaseRenewal(worker, List.of(), List.of());
    }

    /** Answers the lease renewal of {@code worker}, if one is in flight. */
    void answerLeaseRenewal(
            String worker,
            List<WorkflowEvent.RunningRun> running,
            List<WorkflowEvent.EndedRun> ended) {
        answerLeaseRenewal(worker, running, ended, true);
    }

    /**
     * Answers the lease renewal of {@code worker}, if one is in flight; {@code allEndedListed} is
     * whether the worker lists all of its completions.
     */
    void answerLeaseRenewal(
            String worker,
            List<WorkflowEvent.RunningRun> running,
            List<WorkflowEvent.EndedRun> ended,
            boolean allEndedListed) {
        WorkflowEffect.RenewLease renewal = renewals.remove(worker);
        if (renewal != null) {
            post(
                    new WorkflowEvent.LeaseRenewalAnswered(
                            now,
                            renewal.leaderFence(),
                            now,
                            worker,
                            new WorkflowEvent.WorkerReport(
                                    incarnation(worker),
                                    incarnations.clockMillis(worker, now),
                                    TreePVector.from(running),
                                    TreePVector.from(ended),
                                    allEndedListed)));
        }
    }

    /**
     * Lets {@code worker} restart under its identifier, without any runs; its clock starts anew.
     */
    void restartWorker(String worker) {
        incarnations.restart(worker, now);
    }

    /** Returns the present incarnation of {@code worker}. */
    long incarnation(String worker) {
        return incarnations.of(worker);
    }

    /** Fails the lease renewal of {@code worker}, if one is in flight. */
    void failLeaseRenewal(String worker, CommandOutcome outcome) {
        WorkflowEffect.RenewLease renewal = renewals.remove(worker);
        if (renewal != null) {
            post(
                    new WorkflowEvent.LeaseRenewalFailed(
                            now,
                            renewal.leaderFence(),
                            worker,
                            renewal.worker().address(),
                            outcome));
        }
    }

    /** Stores all commits in flight and returns their entries. */
    List<WorkflowEffect.Entry> storeAll() {
        List<WorkflowEffect.Entry> entries = new ArrayList<>();
        while (!commits.isEmpty()) {
            entries.addAll(storeNext());
        }
        return entries;
    }

    /** Stores the oldest commit in flight and returns its entries. */
    List<WorkflowEffect.Entry> storeNext() {
        WorkflowEffect.Commit commit = commits.remove(0);
        post(
                new WorkflowEvent.CommitCompleted(
                        now,
                        commit.leaderRevision(),
                        commit.batch(),
                        new WorkflowEvent.CommitResult.Stored(++revision)));
        return commit.entries();
    }

    /** Returns the Unix time in milliseconds at {@code at}, a time of the monotonic clock. */
    static long wallMillis(long at) {
        return WALL_OFFSET_MILLIS + at;
    }

    void cancel(String id) {
        post(
                new WorkflowEvent.CallArrived(
                        now, nextRequestId++, new WorkflowEvent.Call.Cancel(QUEUE, id)));
    }

    /** Submits a job and returns the number of the request. */
    long submit(String id, WorkflowDefinition definition) {
        return submit(QUEUE, TEAM, id, definition);
    }

    /** Submits a job of {@code team} to {@code queue} and returns the number of the request. */
    long submit(String queue, String team, String id, WorkflowDefinition definition) {
        long requestId = nextRequestId++;
        post(
                new WorkflowEvent.CallArrived(
                        now,
                        requestId,
                        new WorkflowEvent.Call.Submit(queue, team, id, definition)));
        return requestId;
    }

    /** Returns the answer to a request, if there is one. */
    Optional<WorkflowEffect.Reply> answer(long requestId) {
        return effects.stream()
                .filter(WorkflowEffect.Answer.class::isInstance)
                .map(WorkflowEffect.Answer.class::cast)
                .filter(a -> a.requestId() == requestId)
                .map(WorkflowEffect.Answer::reply)
                .findFirst();
    }

    /** Returns the entries of all commits that were sent, stored or not. */
    List<WorkflowEffect.Entry> committedEntries() {
        return effects.stream()
                .filter(WorkflowEffect.Commit.class::isInstance)
                .flatMap(e -> ((WorkflowEffect.Commit) e).entries().stream())
                .toList();
    }

    /** Returns the start commands that were sent. */
    List<WorkflowEffect.Start> starts() {
        return effectsOf(WorkflowEffect.Start.class);
    }

    /** Returns the lease renewals that were sent to {@code worker}. */
    List<WorkflowEffect.RenewLease> leaseRenewals(String worker) {
        return effectsOf(WorkflowEffect.RenewLease.class).stream()
                .filter(r -> r.worker().id().equals(worker))
                .toList();
    }

    /** Returns the advice requests that were sent. */
    List<WorkflowEffect.RequestAdvice> adviceRequests() {
        return effectsOf(WorkflowEffect.RequestAdvice.class);
    }

    /** Returns the advice requests that were sent since the last call of this method. */
    List<WorkflowEffect.RequestAdvice> takeAdviceRequests() {
        List<WorkflowEffect.RequestAdvice> all = adviceRequests();
        List<WorkflowEffect.RequestAdvice> taken =
                List.copyOf(all.subList(takenAdviceRequestCount, all.size()));
        takenAdviceRequestCount = all.size();
        return taken;
    }

    private <T extends WorkflowEffect> List<T> effectsOf(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Answers {@code request} with tickets for all workers that it names. */
    void grantAdvice(WorkflowEffect.RequestAdvice request) {
        Map<String, String> tickets = new HashMap<>();
        request.workers().forEach(w -> tickets.put(w, "ticket-" + w));
        post(
                new WorkflowEvent.AdviceCompleted(
                        now, request.fence(), request.number(), Optional.of(tickets)));
    }

    /** Reports that the worker has answered {@code start} with {@code outcome}. */
    void completeStart(WorkflowEffect.Start start, CommandOutcome outcome) {
        post(
                new WorkflowEvent.CommandCompleted(
                        now, start.leaderFence(), start.command(), outcome));
    }

    /** Confirms all start commands. */
    void confirmStarts() {
        starts().forEach(s -> completeStart(s, CommandOutcome.OK));
    }

    /** Returns the worker of each start command that was sent. */
    List<String> startedWorkers() {
        return starts().stream().map(s -> s.worker().id()).toList();
    }
}
