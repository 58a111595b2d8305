package org.jujubefork.core.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.jujubefork.core.control.Reducer;
import org.jujubefork.core.control.Transition;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.effect.GossipEffect;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.event.Tick;
import org.jujubefork.core.model.EndReason;
import org.jujubefork.core.model.EndedTask;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.pcollections.TreePVector;

/** Simulates entries and workers; checks that tasks run once and completions are durable. */
final class JobsSimulation {
    static final long TICK_MILLIS = 100;
    static final long WATCH_INTERVAL_MILLIS = 300;

    private record Action(long atMillis, long sequence, Runnable action) {}

    final SplittableRandom random;
    final FakeStore store = new FakeStore();
    final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
    final Map<String, FakeEntry> entries = new TreeMap<>();
    final Map<RequestId, RequestEffect> answers = new TreeMap<>();
    final List<EndedTask> completions = new ArrayList<>();
    final List<Effect> effects = new ArrayList<>();
    int startCount;
    long submitEpochMillis = 1;
    int lostAnswerPercent;
    int lostWritePercent;
    int failPercent;
    long minRunMillis = 50;
    long maxRunMillis = 3_000;
    long now = 1_000_000;
    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(
                    Comparator.comparingLong(Action::atMillis).thenComparingLong(Action::sequence));
    private long sequence;

    JobsSimulation(long seed) {
        random = new SplittableRandom(seed);
    }

    void addWorker(int zone, int cores) {
        WorkerId id = WorkerId.of("worker-" + workers.size());
        Resources capacity = Resources.of((cores + 1) * 1_000L, (cores + 1) * 1_024L, 0);
        workers.put(
                id,
                new FakeWorker(
                        new WorkerListing(
                                id, id + ":1", JobsFixtures.zone(zone), capacity, 8, false)));
    }

    FakeEntry addEntry(String name, int zone) {
        FakeEntry entry = new FakeEntry(name, JobsFixtures.zone(zone));
        entries.put(name, entry);
        boot(entry, 1);
        schedule(now + random.nextInt(100), () -> tick(entry));
        schedule(now + random.nextInt(100), () -> watch(entry));
        return entry;
    }

    void boot(FakeEntry entry, long incarnation) {
        entry.start(incarnation, now);
        apply(entry, new ConfigurationLoaded(now, JobsFixtures.configuration(), Optional.empty()));
        var peers = entries.keySet().stream().map(n -> n + ":90").toList();
        apply(entry, new MembershipEvent.PeersDiscovered(now, TreePVector.from(peers)));
        var listings = workers.values().stream().map(w -> w.listing).toList();
        apply(entry, new FleetEvent.WorkersListed(now, TreePVector.from(listings)));
    }

    void schedule(long atMillis, Runnable action) {
        actions.add(new Action(atMillis, sequence++, action));
    }

    void run(long millis) {
        long endMillis = now + millis;
        while (!actions.isEmpty() && actions.peek().atMillis() <= endMillis) {
            Action nextAction = actions.poll();
            now = Math.max(now, nextAction.atMillis());
            nextAction.action().run();
        }
        now = endMillis;
    }

    boolean runUntil(Supplier<Boolean> isDone, long maxMillis) {
        long endMillis = now + maxMillis;
        while (now < endMillis && !isDone.get()) {
            run(TICK_MILLIS);
        }
        return isDone.get();
    }

    private void tick(FakeEntry entry) {
        schedule(now + TICK_MILLIS, () -> tick(entry));
        for (FakeWorker worker : workers.values()) {
            worker.expire(now);
        }
        if (!entry.dead && entry.pausedUntilMillis <= now) {
            apply(entry, new Tick(now, random.nextLong()));
        }
    }

    private void watch(FakeEntry entry) {
        schedule(now + WATCH_INTERVAL_MILLIS, () -> watch(entry));
        if (entry.dead || entry.pausedUntilMillis > now) {
            return;
        }
        if (store.down || entry.isStoreUnreachable) {
            apply(entry, new StoreEvent.StoreFailed(now));
            return;
        }
        var changed = store.changedAfter(entry.lastSeenRevision);
        var removed = store.removedAfter(entry.lastSeenRevision);
        entry.lastSeenRevision = store.revision;
        entry.lastStoreContactMillis = now;
        // The address of an entry is stored with a lease of 15 s.
        var peers =
                entries.entrySet().stream()
                        .filter(e -> now - e.getValue().lastStoreContactMillis < 15_000)
                        .map(e -> e.getKey() + ":90")
                        .toList();
        apply(entry, new MembershipEvent.PeersDiscovered(now, TreePVector.from(peers)));
        apply(entry, new StoreEvent.StoreContacted(now, now));
        apply(entry, new JobEvent.JobRecordsChanged(now, changed, removed));
    }

    /** Delivers an event immediately and schedules its effects. */
    void apply(FakeEntry entry, Event event) {
        Transition transition = Reducer.reduce(entry.state, event);
        entry.state = transition.state();
        for (Effect effect : transition.effects()) {
            effects.add(effect);
            execute(entry, entry.state.self().id().incarnation(), effect, 1 + random.nextInt(15));
        }
    }

    /** Executes an effect after a delay; a pause of the entry extends the delay. */
    private void execute(FakeEntry entry, long incarnation, Effect effect, long delay) {
        schedule(
                now + delay,
                () -> {
                    if (entry.dead || entry.state.self().id().incarnation() != incarnation) {
                        return;
                    }
                    if (entry.pausedUntilMillis > now) {
                        execute(entry, incarnation, effect, entry.pausedUntilMillis - now + 1);
                        return;
                    }
                    switch (effect) {
                        case WorkerEffect e -> toWorker(entry, e);
                        case StoreEffect e -> toStore(entry, e);
                        case GossipEffect e -> toPeer(entry, e);
                        case RequestEffect e -> answers.putIfAbsent(e.request(), e);
                        default -> {}
                    }
                });
    }

    private void deliver(FakeEntry entry, long incarnation, Supplier<Event> event, long delay) {
        schedule(
                now + delay,
                () -> {
                    if (entry.dead || entry.state.self().id().incarnation() != incarnation) {
                        return;
                    }
                    if (entry.pausedUntilMillis > now) {
                        deliver(entry, incarnation, event, entry.pausedUntilMillis - now + 1);
                        return;
                    }
                    apply(entry, event.get());
                });
    }

    private void deliver(FakeEntry entry, Supplier<Event> event) {
        deliver(entry, entry.state.self().id().incarnation(), event, 1 + random.nextInt(15));
    }

    private boolean chance(int percent) {
        return random.nextInt(100) < percent;
    }

    private void toWorker(FakeEntry entry, WorkerEffect effect) {
        switch (effect) {
            case WorkerEffect.AcquireLease e ->
                    lease(entry, e.worker(), e.epoch(), true, e.ttlMillis(), List.of());
            case WorkerEffect.RenewLease e ->
                    lease(entry, e.worker(), e.epoch(), false, e.ttlMillis(), e.acknowledged());
            case WorkerEffect.StartTask e -> start(entry, e);
            case WorkerEffect.StopTask e -> stop(entry, e);
            default -> {}
        }
    }

    private void lease(
            FakeEntry entry,
            WorkerId id,
            Epoch epoch,
            boolean acquire,
            long ttl,
            List<TaskId> acknowledged) {
        FakeWorker worker = workers.get(id);
        long sentAtMillis = now;
        if (!worker.isReachableFrom(entry.name)) {
            deliver(entry, () -> new FleetEvent.LeaseFailed(now, id, epoch));
            return;
        }
        // Empty if the lease was granted; the inner value is the newer epoch, if there is one.
        Optional<Optional<Epoch>> refusal = worker.lease(epoch, acquire, ttl, now);
        if (refusal.isEmpty()) {
            acknowledged.forEach(t -> acknowledge(worker, t));
        }
        var report = worker.report();
        if (chance(lostAnswerPercent)) {
            deliver(entry, () -> new FleetEvent.LeaseFailed(now, id, epoch));
        } else if (refusal.isPresent()) {
            deliver(entry, () -> new FleetEvent.LeaseRefused(now, id, epoch, refusal.get()));
        } else {
            deliver(entry, () -> new FleetEvent.LeaseGranted(now, id, epoch, sentAtMillis, report));
        }
    }

    private void acknowledge(FakeWorker worker, TaskId task) {
        EndedTask ended = worker.ended.remove(task);
        if (ended == null) {
            return;
        }
        JobTask jobTask = ended.spec().jobTask().orElseThrow();
        StoredJob job = store.jobs.get(jobTask.job());
        PendingCompletion pending =
                new PendingCompletion(
                        Optional.empty(),
                        task,
                        jobTask.index(),
                        jobTask.attempt(),
                        ended.reason(),
                        "",
                        ended.progress());
        boolean counts = CompletionMerger.mustBeRecorded(ended.spec().kind(), ended.reason());
        boolean isGang = ended.spec().kind() == WorkKind.GANG;
        if (counts && !isGang && job != null && !CompletionMerger.includes(job.record(), pending)) {
            throw new AssertionError("acknowledged before it was durable: " + ended);
        }
    }

    private void start(FakeEntry entry, WorkerEffect.StartTask e) {
        FakeWorker worker = workers.get(e.worker());
        TaskId task = e.task().id();
        if (!worker.isReachableFrom(entry.name)) {
            deliver(entry, () -> new TaskEvent.StartNotSent(now, e.worker(), task));
            return;
        }
        for (FakeWorker other : workers.values()) {
            other.expire(now);
        }
        JobTask jobTask = e.task().jobTask().orElseThrow();
        Optional<FakeWorker> other =
                workers.values().stream().filter(w -> w.runs(jobTask)).findFirst();
        Optional<StartRefusal> refusal = worker.start(e.epoch(), e.incarnation(), e.task(), now);
        if (refusal.isEmpty()) {
            if (other.isPresent()) {
                throw new AssertionError(
                        jobTask + " runs on " + other.get().listing.id() + " and " + e.worker());
            }
            startCount++;
            scheduleCompletion(worker, e);
        }
        if (chance(lostAnswerPercent)) {
            deliver(entry, () -> new TaskEvent.StartUnknown(now, e.worker(), task, "reset"));
        } else if (refusal.isPresent()) {
            Optional<Epoch> epoch = Optional.of(worker.epoch);
            deliver(
                    entry,
                    () -> new TaskEvent.StartRefused(now, e.worker(), task, refusal.get(), epoch));
        } else {
            deliver(entry, () -> new TaskEvent.StartAccepted(now, e.worker(), task));
        }
    }

    private void scheduleCompletion(FakeWorker worker, WorkerEffect.StartTask e) {
        boolean isFailing = chance(failPercent);
        if (e.task().kind() == WorkKind.SERVICE && !isFailing) {
            return;
        }
        long incarnation = worker.incarnation;
        EndReason reason = isFailing ? EndReason.FAILED : EndReason.SUCCEEDED;
        schedule(
                now + random.nextLong(minRunMillis, maxRunMillis),
                () -> {
                    if (worker.incarnation == incarnation && worker.end(e.task().id(), reason)) {
                        completions.add(worker.ended.get(e.task().id()));
                    }
                });
    }

    private void stop(FakeEntry entry, WorkerEffect.StopTask e) {
        FakeWorker worker = workers.get(e.worker());
        boolean isStopConfirmed =
                worker.isReachableFrom(entry.name)
                        && worker.stop(e.epoch(), e.task())
                        && !chance(lostAnswerPercent);
        deliver(
                entry,
                () ->
                        isStopConfirmed
                                ? new TaskEvent.StopConfirmed(now, e.worker(), e.task())
                                : new TaskEvent.StopFailed(now, e.worker(), e.task()));
    }

    private void toStore(FakeEntry entry, StoreEffect effect) {
        boolean isStoreDown = store.down || entry.isStoreUnreachable;
        switch (effect) {
            case StoreEffect.WriteJob e -> writeJob(entry, e, isStoreDown);
            case StoreEffect.DeleteJob e -> {
                if (!isStoreDown) {
                    store.delete(e.expectedRevision(), e.job());
                }
            }
            case StoreEffect.WriteLedger e -> {
                if (!isStoreDown && e.expectedRevision() == store.ledgerRevision) {
                    store.ledger = e.ledger();
                    store.ledgerRevision = ++store.revision;
                    readLedger(entry);
                } else {
                    deliver(entry, () -> new LimitEvent.LedgerWriteFailed(now, false));
                }
            }
            case StoreEffect.ReadLedger e -> {
                if (!isStoreDown) {
                    readLedger(entry);
                }
            }
            default -> {}
        }
    }

    private void readLedger(FakeEntry entry) {
        long revision = store.ledgerRevision;
        var ledger = store.ledger;
        deliver(entry, () -> new LimitEvent.LedgerLoaded(now, revision, ledger));
    }

    private void writeJob(FakeEntry entry, StoreEffect.WriteJob e, boolean isStoreDown) {
        JobId job = e.record().id();
        if (isStoreDown) {
            deliver(entry, () -> new JobEvent.JobWriteFailed(now, job, false, false));
            return;
        }
        Optional<StoredJob> stored = store.write(e.expectedRevision(), e.record());
        if (chance(lostWritePercent)) {
            deliver(entry, () -> new JobEvent.JobWriteFailed(now, job, true, false));
        } else if (stored.isEmpty()) {
            deliver(entry, () -> new JobEvent.JobWriteFailed(now, job, false, true));
        } else {
            deliver(entry, () -> new JobEvent.JobWritten(now, stored.get()));
        }
    }

    private void toPeer(FakeEntry entry, GossipEffect effect) {
        switch (effect) {
            case GossipEffect.SendGossip e ->
                    peer(entry, e.peerAddress())
                            .ifPresent(
                                    p ->
                                            deliver(
                                                    p,
                                                    () ->
                                                            new MembershipEvent.GossipReceived(
                                                                    now,
                                                                    entry.state.self().id(),
                                                                    e.rows(),
                                                                    e.heartbeats())));
            default -> {}
        }
    }

    private Optional<FakeEntry> peer(FakeEntry entry, String address) {
        FakeEntry peer = entries.get(address.substring(0, address.indexOf(':')));
        boolean isCutOff =
                peer == null || peer.dead || peer.isGossipBlocked || entry.isGossipBlocked;
        return isCutOff || peer == entry ? Optional.empty() : Optional.of(peer);
    }

    JobId submit(FakeEntry entry, String job, WorkKind kind, int tasks, Resources size) {
        JobId id = JobId.of(job);
        JobSpec spec =
                new JobSpec(
                        JobsFixtures.queue(kind),
                        job,
                        tasks,
                        Optional.of(size),
                        "input",
                        Optional.empty());
        submit(entry, RequestId.of("submit-" + job), id, spec);
        return id;
    }

    void submit(FakeEntry entry, RequestId request, JobId id, JobSpec spec) {
        apply(
                entry,
                new JobEvent.JobSubmitted(
                        now, request, id, spec, Optional.empty(), submitEpochMillis));
    }

    void cancel(FakeEntry entry, JobId job) {
        RequestId request = RequestId.of("cancel-" + job);
        apply(entry, new JobEvent.JobCancelRequested(now, request, job, Optional.empty()));
    }

    JobState stateOf(JobId job) {
        return store.jobs.containsKey(job) ? store.jobs.get(job).record().state() : JobState.ACTIVE;
    }

    long runningOf(JobId job) {
        return workers.values().stream()
                .flatMap(w -> w.running.values().stream())
                .filter(s -> s.jobTask().orElseThrow().job().equals(job))
                .count();
    }
}
