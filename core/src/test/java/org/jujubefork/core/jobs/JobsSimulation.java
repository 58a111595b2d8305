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

/**
 * Entries that share workers and a store, in simulated time. It checks at every start that no task
 * runs twice, and at every acknowledgement that the end is durable.
 */
final class JobsSimulation {
    static final long TICK_MILLIS = 100;
    static final long WATCH_MILLIS = 300;

    private record Message(long at, long number, Runnable action) {}

    final SplittableRandom random;
    final FakeStore store = new FakeStore();
    final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
    final Map<String, FakeEntry> entries = new TreeMap<>();
    final Map<RequestId, RequestEffect> answers = new TreeMap<>();
    final List<EndedTask> realEnds = new ArrayList<>();
    final List<Effect> effects = new ArrayList<>();
    int starts;
    long submitEpochMillis = 1;
    int lostAnswerPercent;
    int lostWritePercent;
    int failPercent;
    long minRunMillis = 50;
    long maxRunMillis = 3_000;
    long now = 1_000_000;
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(
                    Comparator.comparingLong(Message::at).thenComparingLong(Message::number));
    private long number;

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
        at(now + random.nextInt(100), () -> tick(entry));
        at(now + random.nextInt(100), () -> watch(entry));
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

    void at(long time, Runnable action) {
        messages.add(new Message(time, number++, action));
    }

    void run(long millis) {
        long end = now + millis;
        while (!messages.isEmpty() && messages.peek().at() <= end) {
            Message next = messages.poll();
            now = Math.max(now, next.at());
            next.action().run();
        }
        now = end;
    }

    boolean runUntil(Supplier<Boolean> done, long maxMillis) {
        long end = now + maxMillis;
        while (now < end && !done.get()) {
            run(TICK_MILLIS);
        }
        return done.get();
    }

    private void tick(FakeEntry entry) {
        at(now + TICK_MILLIS, () -> tick(entry));
        for (FakeWorker worker : workers.values()) {
            worker.expire(now);
        }
        if (!entry.dead && entry.pausedUntil <= now) {
            apply(entry, new Tick(now, random.nextLong()));
        }
    }

    private void watch(FakeEntry entry) {
        at(now + WATCH_MILLIS, () -> watch(entry));
        if (entry.dead || entry.pausedUntil > now) {
            return;
        }
        if (store.down || entry.storeCut) {
            apply(entry, new StoreEvent.StoreFailed(now));
            return;
        }
        var changed = store.changedAfter(entry.seenRevision);
        var removed = store.removedAfter(entry.seenRevision);
        entry.seenRevision = store.revision;
        entry.contactMillis = now;
        // An address has a lease of 15 s in the store.
        var peers =
                entries.entrySet().stream()
                        .filter(e -> now - e.getValue().contactMillis < 15_000)
                        .map(e -> e.getKey() + ":90")
                        .toList();
        apply(entry, new MembershipEvent.PeersDiscovered(now, TreePVector.from(peers)));
        apply(entry, new StoreEvent.StoreContacted(now, now));
        apply(entry, new JobEvent.JobRecordsChanged(now, changed, removed));
    }

    /** Delivers an event at once. */
    void apply(FakeEntry entry, Event event) {
        Transition transition = Reducer.reduce(entry.state, event);
        entry.state = transition.state();
        for (Effect effect : transition.effects()) {
            effects.add(effect);
            send(entry, entry.state.self().id().incarnation(), effect, 1 + random.nextInt(15));
        }
    }

    /** Carries out an effect after a delay, which a pause of the process makes longer. */
    private void send(FakeEntry entry, long run, Effect effect, long delay) {
        at(
                now + delay,
                () -> {
                    if (entry.dead || entry.state.self().id().incarnation() != run) {
                        return;
                    }
                    if (entry.pausedUntil > now) {
                        send(entry, run, effect, entry.pausedUntil - now + 1);
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

    private void reply(FakeEntry entry, long run, Supplier<Event> event, long delay) {
        at(
                now + delay,
                () -> {
                    if (entry.dead || entry.state.self().id().incarnation() != run) {
                        return;
                    }
                    if (entry.pausedUntil > now) {
                        reply(entry, run, event, entry.pausedUntil - now + 1);
                        return;
                    }
                    apply(entry, event.get());
                });
    }

    private void reply(FakeEntry entry, Supplier<Event> event) {
        reply(entry, entry.state.self().id().incarnation(), event, 1 + random.nextInt(15));
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
        long sent = now;
        if (!worker.isReachableFrom(entry.name)) {
            reply(entry, () -> new FleetEvent.LeaseFailed(now, id, epoch));
            return;
        }
        Optional<Optional<Epoch>> refused = worker.lease(epoch, acquire, ttl, now);
        if (refused.isEmpty()) {
            acknowledged.forEach(t -> acknowledge(worker, t));
        }
        var report = worker.report();
        if (chance(lostAnswerPercent)) {
            reply(entry, () -> new FleetEvent.LeaseFailed(now, id, epoch));
        } else if (refused.isPresent()) {
            reply(entry, () -> new FleetEvent.LeaseRefused(now, id, epoch, refused.get()));
        } else {
            reply(entry, () -> new FleetEvent.LeaseGranted(now, id, epoch, sent, report));
        }
    }

    private void acknowledge(FakeWorker worker, TaskId task) {
        EndedTask end = worker.ended.remove(task);
        if (end == null) {
            return;
        }
        JobTask what = end.spec().job().orElseThrow();
        StoredJob job = store.jobs.get(what.job());
        PendingCompletion pending =
                new PendingCompletion(
                        Optional.empty(),
                        task,
                        what.index(),
                        what.attempt(),
                        end.reason(),
                        "",
                        end.progress());
        boolean counts = CompletionMerger.mustBeRecorded(end.spec().kind(), end.reason());
        boolean gang = end.spec().kind() == WorkKind.GANG;
        if (counts && !gang && job != null && !CompletionMerger.includes(job.record(), pending)) {
            throw new AssertionError("acknowledged before it was durable: " + end);
        }
    }

    private void start(FakeEntry entry, WorkerEffect.StartTask e) {
        FakeWorker worker = workers.get(e.worker());
        TaskId task = e.task().id();
        if (!worker.isReachableFrom(entry.name)) {
            reply(entry, () -> new TaskEvent.StartNotSent(now, e.worker(), task));
            return;
        }
        for (FakeWorker other : workers.values()) {
            other.expire(now);
        }
        JobTask what = e.task().job().orElseThrow();
        Optional<FakeWorker> twin = workers.values().stream().filter(w -> w.runs(what)).findFirst();
        Optional<StartRefusal> refusal = worker.start(e.epoch(), e.incarnation(), e.task(), now);
        if (refusal.isEmpty()) {
            if (twin.isPresent()) {
                throw new AssertionError(
                        what + " runs on " + twin.get().listing.id() + " and " + e.worker());
            }
            starts++;
            scheduleEnd(worker, e);
        }
        if (chance(lostAnswerPercent)) {
            reply(entry, () -> new TaskEvent.StartUnknown(now, e.worker(), task, "reset"));
        } else if (refusal.isPresent()) {
            Optional<Epoch> epoch = Optional.of(worker.epoch);
            reply(
                    entry,
                    () -> new TaskEvent.StartRefused(now, e.worker(), task, refusal.get(), epoch));
        } else {
            reply(entry, () -> new TaskEvent.StartAccepted(now, e.worker(), task));
        }
    }

    private void scheduleEnd(FakeWorker worker, WorkerEffect.StartTask e) {
        boolean fails = chance(failPercent);
        if (e.task().kind() == WorkKind.SERVICE && !fails) {
            return;
        }
        long incarnation = worker.incarnation;
        EndReason reason = fails ? EndReason.FAILED : EndReason.SUCCEEDED;
        at(
                now + random.nextLong(minRunMillis, maxRunMillis),
                () -> {
                    if (worker.incarnation == incarnation && worker.end(e.task().id(), reason)) {
                        realEnds.add(worker.ended.get(e.task().id()));
                    }
                });
    }

    private void stop(FakeEntry entry, WorkerEffect.StopTask e) {
        FakeWorker worker = workers.get(e.worker());
        boolean done =
                worker.isReachableFrom(entry.name)
                        && worker.stop(e.epoch(), e.task())
                        && !chance(lostAnswerPercent);
        reply(
                entry,
                () ->
                        done
                                ? new TaskEvent.StopConfirmed(now, e.worker(), e.task())
                                : new TaskEvent.StopFailed(now, e.worker(), e.task()));
    }

    private void toStore(FakeEntry entry, StoreEffect effect) {
        boolean down = store.down || entry.storeCut;
        switch (effect) {
            case StoreEffect.WriteJob e -> writeJob(entry, e, down);
            case StoreEffect.DeleteJob e -> {
                if (!down) {
                    store.delete(e.expectedRevision(), e.job());
                }
            }
            case StoreEffect.WriteLedger e -> {
                if (!down && e.expectedRevision() == store.ledgerRevision) {
                    store.ledger = e.ledger();
                    store.ledgerRevision = ++store.revision;
                    readLedger(entry);
                } else {
                    reply(entry, () -> new LimitEvent.LedgerWriteFailed(now, false));
                }
            }
            case StoreEffect.ReadLedger e -> {
                if (!down) {
                    readLedger(entry);
                }
            }
            default -> {}
        }
    }

    private void readLedger(FakeEntry entry) {
        long revision = store.ledgerRevision;
        var ledger = store.ledger;
        reply(entry, () -> new LimitEvent.LedgerLoaded(now, revision, ledger));
    }

    private void writeJob(FakeEntry entry, StoreEffect.WriteJob e, boolean down) {
        JobId job = e.record().id();
        if (down) {
            reply(entry, () -> new JobEvent.JobWriteFailed(now, job, false, false));
            return;
        }
        Optional<StoredJob> stored = store.write(e.expectedRevision(), e.record());
        if (chance(lostWritePercent)) {
            reply(entry, () -> new JobEvent.JobWriteFailed(now, job, true, false));
        } else if (stored.isEmpty()) {
            reply(entry, () -> new JobEvent.JobWriteFailed(now, job, false, true));
        } else {
            reply(entry, () -> new JobEvent.JobWritten(now, stored.get()));
        }
    }

    private void toPeer(FakeEntry entry, GossipEffect effect) {
        switch (effect) {
            case GossipEffect.SendGossip e ->
                    peer(entry, e.peerAddress())
                            .ifPresent(
                                    p ->
                                            reply(
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
        boolean cut = peer == null || peer.dead || peer.gossipCut || entry.gossipCut;
        return cut || peer == entry ? Optional.empty() : Optional.of(peer);
    }

    /** Submits a job and returns its id. */
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
                .filter(s -> s.job().orElseThrow().job().equals(job))
                .count();
    }
}
