package org.jujubefork.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.jujubefork.config.cell.ConfigurationDocument;
import org.jujubefork.core.effect.GossipEffect;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.RequestEvent;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.entry.answers.AnswerChannel;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.EventSink;
import org.jujubefork.entry.platform.ConfigurationSource;

/** Carries out effects towards other entries, and turns their messages into events. */
public final class PeerExecutor implements PeerTransport.Receiver {
    private static final Logger log = Logger.getLogger(PeerExecutor.class);
    private static final PeerLink.Failure IGNORED = sent -> {};

    private final Clock clock;
    private final EventSink events;
    private final RequestRegistry registry;
    private final ConfigurationExchange configurations;
    private final int maxBodyBytes;
    private final OutgoingForwards outgoing = new OutgoingForwards();
    private final IncomingForwards incoming = new IncomingForwards();
    private PeerTransport transport;
    private volatile Optional<PeerViews> views = Optional.empty();

    /**
     * Creates an executor; {@link #attach} must follow before effects are carried out.
     *
     * @param configuration takes configuration documents of other entries
     * @param document gives the newest configuration document of this entry
     * @param maxBodyBytes the longest request body
     */
    public PeerExecutor(
            Clock clock,
            EventSink events,
            RequestRegistry registry,
            ConfigurationSource configuration,
            Supplier<Optional<ConfigurationDocument>> document,
            int maxBodyBytes) {
        this.clock = clock;
        this.events = events;
        this.registry = registry;
        this.configurations = new ConfigurationExchange(configuration, document);
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Sets the transport over which messages are sent. */
    public void attach(PeerTransport peers) {
        transport = peers;
    }

    /**
     * Starts to exchange views for operators with other entries.
     *
     * @param own gives a view of this entry's shards by its name, in the API's JSON form
     */
    public PeerViews exchangeViews(Function<String, Optional<byte[]>> own) {
        PeerViews exchange = new PeerViews(own, transport);
        views = Optional.of(exchange);
        return exchange;
    }

    /** Carries out messages about membership and configuration. */
    public void execute(GossipEffect effect) {
        switch (effect) {
            case GossipEffect.SendGossip e ->
                    send(e.peerAddress(), new PeerMessage.Gossip(e.rows(), e.heartbeats()));
            case GossipEffect.SendProbe e ->
                    send(e.peerAddress(), new PeerMessage.Probe(e.probeId()));
            case GossipEffect.SendProbeReply e ->
                    send(
                            e.peerAddress(),
                            new PeerMessage.ProbeReply(e.probeId(), e.configurationVersion()));
            case GossipEffect.FetchConfiguration e ->
                    send(e.peerAddress(), new PeerMessage.ConfigurationFetch());
        }
    }

    private void send(String peerAddress, PeerMessage message) {
        transport.offer(peerAddress, new PeerLink.Parcel(List.of(Frame.of(message)), IGNORED));
    }

    /** Sends a request with its body to the owner of a shard. */
    public void forward(RequestEffect.Forward effect) {
        Optional<byte[]> body = registry.body(effect.request());
        Optional<AnswerChannel> channel = registry.channel(effect.request());
        if (body.isEmpty() || channel.isEmpty()) {
            return;
        }
        OutgoingForwards.Attempt attempt =
                outgoing.start(effect.request(), effect.to(), effect.peerAddress(), channel.get());
        List<Frame> frames = new ArrayList<>();
        frames.add(
                Frame.of(
                        attempt.correlation(),
                        new PeerMessage.Forward(
                                effect.request().value(), effect.forwarded(), body.get().length)));
        for (int from = 0; from < body.get().length; from += Frame.CHUNK_BYTES) {
            int to = Math.min(body.get().length, from + Frame.CHUNK_BYTES);
            frames.add(
                    Frame.of(
                            attempt.correlation(),
                            new PeerMessage.BodyChunk(Arrays.copyOfRange(body.get(), from, to))));
        }
        transport.offer(
                effect.peerAddress(),
                new PeerLink.Parcel(frames, sent -> forwardFailed(attempt.correlation(), sent)));
    }

    /** Tells the owner of a shard that an answer is no longer wanted. */
    public void cancel(RequestEffect.CancelForward effect) {
        outgoing.of(effect.request())
                .ifPresent(
                        a ->
                                transport.offer(
                                        effect.peerAddress(),
                                        new PeerLink.Parcel(
                                                List.of(
                                                        Frame.of(
                                                                a.correlation(),
                                                                new PeerMessage.Cancel())),
                                                IGNORED)));
    }

    /** Tells another entry what became of the request that it forwarded. */
    public void answer(RequestEffect.AnswerForward effect) {
        Optional<IncomingForwards.Incoming> request = incoming.remove(effect.request());
        registry.remove(effect.request());
        request.ifPresent(i -> answer(i.sender(), i.correlation(), effect.result()));
    }

    private void end(IncomingForwards.Incoming request, AttemptResult result) {
        answer(new RequestEffect.AnswerForward(request.id(), request.from(), result));
    }

    private void answer(PeerMessage.Hello sender, long correlation, AttemptResult result) {
        transport.offer(
                sender.peerAddress(),
                answerParcel(sender, correlation, new PeerMessage.ResponseEnd(result)));
    }

    /**
     * Returns a part of an answer. If it cannot be sent, the connection over which the request came
     * is closed: the other entry then treats the request as failed instead of waiting for the
     * deadline.
     */
    private PeerLink.Parcel answerParcel(
            PeerMessage.Hello sender, long correlation, PeerMessage message) {
        return new PeerLink.Parcel(
                List.of(Frame.of(correlation, message)),
                sent -> {
                    log.warnf(
                            "event=answer-not-sent to=%s purpose=%s sent=%b",
                            sender.from(), message.purpose(), sent);
                    transport.disconnect(sender);
                });
    }

    /** Reports requests that were forwarded to an entry whose connection was closed. */
    public void connectionLost(String peerAddress) {
        Thread.startVirtualThread(
                () ->
                        outgoing.endAll(peerAddress)
                                .forEach(
                                        a ->
                                                events.post(
                                                        new RequestEvent.ForwardFailed(
                                                                clock.millis(),
                                                                a.request(),
                                                                a.to(),
                                                                true))));
    }

    private void forwardFailed(long correlation, boolean sent) {
        outgoing.end(correlation)
                .ifPresent(
                        a ->
                                Thread.startVirtualThread(
                                        () ->
                                                events.post(
                                                        new RequestEvent.ForwardFailed(
                                                                clock.millis(),
                                                                a.request(),
                                                                a.to(),
                                                                sent))));
    }

    @Override
    public void receive(PeerMessage.Hello sender, Frame frame) {
        long now = clock.millis();
        switch (frame.message()) {
            // Gossip and probes are sent again after a second; a lost one does no harm.
            case PeerMessage.Gossip m ->
                    events.offer(
                            new MembershipEvent.GossipReceived(
                                    now, sender.from(), m.rows(), m.heartbeats()));
            case PeerMessage.Probe m ->
                    events.offer(
                            new MembershipEvent.ProbeReceived(
                                    now, sender.from(), sender.peerAddress(), m.probeId()));
            case PeerMessage.ProbeReply m ->
                    events.offer(
                            new MembershipEvent.ProbeReplied(
                                    now, sender.from(), m.probeId(), m.configurationVersion()));
            case PeerMessage.Forward m -> receiveForward(sender, frame.correlation(), m);
            case PeerMessage.BodyChunk m -> receiveBody(sender, frame.correlation(), m.bytes());
            case PeerMessage.ResponseChunk m -> receiveChunk(frame.correlation(), m.bytes());
            case PeerMessage.ResponseComplete m -> receiveComplete(frame.correlation(), m);
            case PeerMessage.ResponseEnd m -> receiveEnd(sender, frame.correlation(), m.result());
            case PeerMessage.Credit m ->
                    incoming.of(sender.from(), frame.correlation())
                            .ifPresent(i -> i.credit(m.chunks()));
            case PeerMessage.Cancel m ->
                    incoming.of(sender.from(), frame.correlation()).ifPresent(this::giveUp);
            case PeerMessage.ConfigurationFetch m -> sendConfiguration(sender.peerAddress());
            case PeerMessage.ConfigurationPart m -> configurations.receive(sender.from(), m);
            case PeerMessage.ViewFetch m ->
                    views.ifPresent(v -> v.serve(sender, frame.correlation(), m.view()));
            case PeerMessage.ViewPart m ->
                    views.ifPresent(v -> v.receive(sender, frame.correlation(), m));
            case PeerMessage.Hello m -> log.debugf("event=peer-hello from=%s", m.from());
            case PeerMessage.ProtocolError m ->
                    log.warnf("event=peer-protocol-error reason=\"%s\"", m.text());
        }
    }

    /**
     * Gives up the requests that came over a connection that was closed: the entry that forwarded
     * them treats them as failed, so that neither credit nor the rest of a body comes any more.
     * Requests that were forwarded to the sender fail as well, because their answers were to come
     * over this connection and may be lost.
     */
    @Override
    public void senderLost(PeerMessage.Hello sender) {
        connectionLost(sender.peerAddress());
        List<IncomingForwards.Incoming> lost = incoming.on(sender);
        if (!lost.isEmpty()) {
            Thread.startVirtualThread(() -> lost.forEach(this::giveUp));
        }
    }

    /**
     * Posts an event that must not be lost. The caller is a selector thread, which must not wait
     * while the queue is full; there are no more such events than open forwards.
     */
    private void postLater(Event event) {
        if (!events.offer(event)) {
            Thread.startVirtualThread(() -> events.post(event));
        }
    }

    private void giveUp(IncomingForwards.Incoming request) {
        request.end();
        if (request.isWhole()) {
            postLater(new RequestEvent.RequestCancelled(clock.millis(), request.id()));
        } else {
            incoming.remove(request.id());
        }
    }

    private void receiveForward(
            PeerMessage.Hello sender, long correlation, PeerMessage.Forward message) {
        if (message.bodyBytes() < 0 || message.bodyBytes() > maxBodyBytes) {
            log.warnf(
                    "event=forward-refused from=%s body_bytes=%d",
                    sender.from(), message.bodyBytes());
            answer(sender, correlation, AttemptResult.notRunHere(RefusalReason.ENTRY_UNREACHABLE));
            return;
        }
        IncomingForwards.Incoming added = incoming.add(sender, correlation, message);
        if (message.bodyBytes() == 0) {
            accept(added);
        }
    }

    private void receiveBody(PeerMessage.Hello sender, long correlation, byte[] bytes) {
        incoming.of(sender.from(), correlation)
                .ifPresent(
                        i -> {
                            if (i.isWhole()) {
                                return; // accepted already; a second run must not start
                            }
                            i.body().writeBytes(bytes);
                            if (i.isWhole()) {
                                accept(i);
                            }
                        });
    }

    private void accept(IncomingForwards.Incoming request) {
        registry.add(request.id(), request.body().toByteArray(), relayTo(request));
        boolean taken =
                events.offer(
                        new RequestEvent.RequestForwarded(
                                clock.millis(),
                                request.id(),
                                request.from(),
                                request.message().forwarded()));
        if (!taken) {
            end(request, AttemptResult.notRunHere(RefusalReason.OVERLOADED));
        }
    }

    /** Returns a sink that sends an answer to the entry that forwarded the request. */
    private RequestRegistry.Sink relayTo(IncomingForwards.Incoming request) {
        return new RequestRegistry.Sink() {
            @Override
            public void accept(byte[] chunk) throws IOException {
                try {
                    request.window().acquire();
                    if (request.ended().get()) {
                        request.window().release();
                        throw new IOException("the answer is no longer wanted");
                    }
                    request.answered().addAndGet(chunk.length);
                    relay(new PeerMessage.ResponseChunk(chunk));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    throw new IOException("interrupted while relaying an answer", e);
                }
            }

            @Override
            public void finish(String contentType) {
                try {
                    relay(new PeerMessage.ResponseComplete(contentType, request.answered().get()));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }

            private void relay(PeerMessage message) throws InterruptedException {
                transport.put(
                        request.peerAddress(),
                        answerParcel(request.sender(), request.correlation(), message));
            }
        };
    }

    private void receiveChunk(long correlation, byte[] bytes) {
        outgoing.attempt(correlation).ifPresent(a -> a.channel().offer(bytes, () -> credit(a)));
    }

    private void credit(OutgoingForwards.Attempt attempt) {
        transport.offer(
                attempt.peerAddress(),
                new PeerLink.Parcel(
                        List.of(Frame.of(attempt.correlation(), new PeerMessage.Credit(1))),
                        // Without the credit the rest of the answer would not come.
                        sent -> forwardFailed(attempt.correlation(), true)));
    }

    private void receiveComplete(long correlation, PeerMessage.ResponseComplete message) {
        outgoing.attempt(correlation)
                .filter(a -> a.channel().received() == message.bytes())
                .ifPresent(a -> a.channel().finish(message.contentType()));
    }

    private void receiveEnd(PeerMessage.Hello sender, long correlation, AttemptResult result) {
        Optional<OutgoingForwards.Attempt> attempt = outgoing.end(correlation);
        if (attempt.isEmpty()) {
            return;
        }
        RequestId request = attempt.get().request();
        boolean incomplete =
                result.outcome() == Outcome.DONE && !attempt.get().channel().isFinished();
        postLater(
                incomplete
                        ? new RequestEvent.ForwardFailed(
                                clock.millis(), request, attempt.get().to(), true)
                        : new RequestEvent.ForwardAnswered(
                                clock.millis(), request, sender.from(), result));
    }

    private void sendConfiguration(String peerAddress) {
        List<Frame> parts = configurations.parts();
        if (!parts.isEmpty()) {
            transport.offer(peerAddress, new PeerLink.Parcel(parts, IGNORED));
        }
    }
}
