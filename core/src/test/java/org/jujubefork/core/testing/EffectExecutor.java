package org.jujubefork.core.testing;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.effect.GossipEffect;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.effect.WorkerEffect;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.FleetEvent;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.event.TaskEvent;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.StartRefusal;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerReport;

/** Carries out the effects of the entries of a {@link Cluster}. */
final class EffectExecutor {
    /** Timeout of commands to workers and of writes to the store. */
    private static final long TIMEOUT_MILLIS = 1_000;

    private final Cluster cluster;

    EffectExecutor(Cluster cluster) {
        this.cluster = cluster;
    }

    void execute(Node node, Effect effect) {
        switch (effect) {
            case GossipEffect e -> gossip(node, e);
            case StoreEffect.WriteLedger e -> writeLedger(node, e);
            case StoreEffect.ReadLedger e -> readLedger(node);
            case WorkerEffect.AcquireLease e ->
                    lease(node, e.worker(), e.epoch(), w -> {}, e.ttlMillis(), true);
            case WorkerEffect.RenewLease e ->
                    lease(
                            node,
                            e.worker(),
                            e.epoch(),
                            w -> w.acknowledge(e.acknowledged()),
                            e.ttlMillis(),
                            false);
            case WorkerEffect.StartTask e -> start(node, e);
            case WorkerEffect.StopTask e -> stop(node, e);
            case RequestEffect.Forward e -> {
                EntryId self = node.state().self().id();
                sendToPeer(
                        node,
                        e.peerAddress(),
                        at ->
                                new RequestEvent.RequestForwarded(
                                        at, e.request(), self, e.forwarded()));
            }
            case RequestEffect.AnswerForward e -> {
                EntryId self = node.state().self().id();
                sendToPeer(
                        node,
                        e.to().name() + ":70",
                        at -> new RequestEvent.ForwardAnswered(at, e.request(), self, e.result()));
            }
            default -> {}
        }
    }

    private void gossip(Node node, GossipEffect effect) {
        EntryId self = node.state().self().id();
        switch (effect) {
            case GossipEffect.SendGossip e ->
                    sendToPeer(
                            node,
                            e.peerAddress(),
                            at ->
                                    new MembershipEvent.GossipReceived(
                                            at, self, e.rows(), e.heartbeats()));
            case GossipEffect.SendProbe e ->
                    sendToPeer(
                            node,
                            e.peerAddress(),
                            at ->
                                    new MembershipEvent.ProbeReceived(
                                            at,
                                            self,
                                            node.state().self().peerAddress(),
                                            e.probeId()));
            case GossipEffect.SendProbeReply e ->
                    sendToPeer(
                            node,
                            e.peerAddress(),
                            at ->
                                    new MembershipEvent.ProbeReplied(
                                            at, self, e.probeId(), e.configurationVersion()));
            case GossipEffect.FetchConfiguration e -> {
                Node peer = cluster.node(e.from().name());
                long incarnation = self.incarnation();
                cluster.send(
                        node.name(),
                        peer.name(),
                        () -> {
                            var configuration = peer.state().configuration();
                            if (peer.isRunning(cluster.nowMillis()) && configuration.isPresent()) {
                                cluster.send(
                                        peer.name(),
                                        node.name(),
                                        () ->
                                                cluster.deliver(
                                                        node,
                                                        incarnation,
                                                        at ->
                                                                new ConfigurationLoaded(
                                                                        at,
                                                                        configuration.get(),
                                                                        Optional.of(e.from()))));
                            }
                        });
            }
        }
    }

    private void sendToPeer(Node node, String address, LongFunction<Event> event) {
        Node peer = cluster.node(address.substring(0, address.indexOf(':')));
        if (peer != null) {
            cluster.send(node.name(), peer.name(), () -> peer.deliver(event));
        }
    }

    private void writeLedger(Node node, StoreEffect.WriteLedger write) {
        long incarnation = node.state().self().id().incarnation();
        boolean[] answered = new boolean[1];
        cluster.sendToStore(
                node.name(),
                () -> {
                    if (!cluster.store().isAvailable()) {
                        return;
                    }
                    boolean isWritten =
                            cluster.store().writeLedger(write.expectedRevision(), write.ledger());
                    long revision = cluster.store().revision();
                    answered[0] =
                            cluster.replyFromStore(
                                    node.name(),
                                    at ->
                                            isWritten
                                                    ? new LimitEvent.LedgerLoaded(
                                                            at, revision, write.ledger())
                                                    : new LimitEvent.LedgerWriteFailed(at, false));
                });
        cluster.schedule(
                TIMEOUT_MILLIS,
                node.name(),
                () -> {
                    if (!answered[0]) {
                        cluster.deliver(
                                node,
                                incarnation,
                                at -> new LimitEvent.LedgerWriteFailed(at, true));
                    }
                });
    }

    private void readLedger(Node node) {
        cluster.sendToStore(node.name(), () -> cluster.readStore(node.name(), cluster.nowMillis()));
    }

    private void lease(
            Node node,
            WorkerId id,
            Epoch epoch,
            Consumer<FakeWorker> beforeGrant,
            long ttlMillis,
            boolean isAcquisition) {
        long sentAtMillis = cluster.nowMillis();
        command(
                node,
                id,
                worker -> {
                    boolean mayGrant =
                            isAcquisition || worker.holdsLeaseUnder(epoch, cluster.nowMillis());
                    Optional<Epoch> higherEpoch = worker.epoch().filter(e -> e.isAbove(epoch));
                    if (!mayGrant) {
                        return at -> new FleetEvent.LeaseRefused(at, id, epoch, higherEpoch);
                    }
                    beforeGrant.accept(worker);
                    Optional<WorkerReport> report =
                            worker.grantLease(epoch, ttlMillis, cluster.nowMillis());
                    return report.<LongFunction<Event>>map(
                                    r ->
                                            at ->
                                                    new FleetEvent.LeaseGranted(
                                                            at, id, epoch, sentAtMillis, r))
                            .orElse(at -> new FleetEvent.LeaseRefused(at, id, epoch, higherEpoch));
                },
                at -> new FleetEvent.LeaseFailed(at, id, epoch));
    }

    private void start(Node node, WorkerEffect.StartTask start) {
        WorkerId id = start.worker();
        var task = start.task();
        long incarnation = node.state().self().id().incarnation();
        boolean isRequest = task.kind() == WorkKind.LOOKUP;
        LongFunction<Event> unknownOutcome =
                at -> new TaskEvent.StartUnknown(at, id, task.id(), "no answer");
        Runnable onCompletion =
                () -> {
                    boolean isSent =
                            cluster.send(
                                    id.value(),
                                    node.name(),
                                    () ->
                                            cluster.deliver(
                                                    node,
                                                    incarnation,
                                                    at ->
                                                            new TaskEvent.RequestFinished(
                                                                    at, id, task.id(), true, 1)));
                    if (!isSent) {
                        cluster.schedule(
                                TIMEOUT_MILLIS,
                                id.value(),
                                () -> cluster.deliver(node, incarnation, unknownOutcome));
                    }
                };
        command(
                node,
                id,
                worker -> {
                    long endsAtMillis = cluster.nowMillis() + durationOf(task.kind());
                    Optional<StartRefusal> refusal =
                            worker.start(
                                    start.epoch(),
                                    start.incarnation(),
                                    new FakeWorker.Execution(task, endsAtMillis, onCompletion),
                                    cluster.nowMillis());
                    Optional<Epoch> higherEpoch =
                            worker.epoch().filter(e -> e.isAbove(start.epoch()));
                    if (refusal.isPresent()) {
                        return at ->
                                new TaskEvent.StartRefused(
                                        at, id, task.id(), refusal.get(), higherEpoch);
                    }
                    return isRequest ? null : at -> new TaskEvent.StartAccepted(at, id, task.id());
                },
                unknownOutcome);
    }

    private long durationOf(WorkKind kind) {
        return switch (kind) {
            case LOOKUP, COMMAND -> 100 + cluster.random().nextLong(2_000);
            case BATCH, GANG -> 500 + cluster.random().nextLong(20_000);
            case SERVICE -> 20_000 + cluster.random().nextLong(60_000);
        };
    }

    private void stop(Node node, WorkerEffect.StopTask stop) {
        command(
                node,
                stop.worker(),
                worker ->
                        worker.stop(stop.epoch(), stop.task())
                                ? at -> new TaskEvent.StopConfirmed(at, stop.worker(), stop.task())
                                : at -> new TaskEvent.StopFailed(at, stop.worker(), stop.task()),
                at -> new TaskEvent.StopFailed(at, stop.worker(), stop.task()));
    }

    /**
     * Carries out a command at a worker. The result is the event that answers the command, or null
     * if the answer is sent later.
     */
    private interface Command {
        LongFunction<Event> execute(FakeWorker worker);
    }

    private void command(
            Node node, WorkerId id, Command command, LongFunction<Event> timeoutEvent) {
        long incarnation = node.state().self().id().incarnation();
        boolean[] answered = new boolean[1];
        cluster.send(
                node.name(),
                id.value(),
                () -> {
                    FakeWorker worker = cluster.workers().get(id.value());
                    if (worker == null) {
                        return;
                    }
                    LongFunction<Event> answer = command.execute(worker);
                    answered[0] =
                            answer == null
                                    || cluster.send(
                                            id.value(),
                                            node.name(),
                                            () -> cluster.deliver(node, incarnation, answer));
                });
        cluster.schedule(
                TIMEOUT_MILLIS,
                node.name(),
                () -> {
                    if (!answered[0]) {
                        cluster.deliver(node, incarnation, timeoutEvent);
                    }
                });
    }
}
