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

/** Executes effects that send messages to other entries, and posts events for their messages. */
public final class PeerExecutor implements PeerTransport.Receiver {
    private static final Logger log = Logger.getLogger(PeerExecutor.class);
    private static final PeerLink.FailureHandler IGNORE_FAILURE = maybeSent -> {};

    private final Clock clock;
    private final EventSink events;
    private final RequestRegistry registry;
    private final ConfigurationExchange configurationExchange;
    private final int maxBodyBytes;
    private final OutgoingForwards outgoing = new OutgoingForwards();
    private final IncomingForwards incoming = new IncomingForwards();
    private PeerTransport transport;
    private volatile Optional<PeerViews> views = Optional.empty();

    /**
     * Creates an executor. {@link #attach} must be called before effects are executed.
     *
     * @param configurationSource receives the configuration documents of other entries
     * @param newestDocument returns the newest configuration document of this entry
     * @param maxBodyBytes maximum size of the body of a forwarded request
     */
    public PeerExecutor(
            Clock clock,
            EventSink events,
            RequestRegistry registry,
            ConfigurationSource configurationSource,
            Supplier<Optional<ConfigurationDocument>> newestDocument,
            int maxBodyBytes) {
        this.clock = clock;
        this.events = events;
        this.registry = registry;
        this.configurationExchange = new ConfigurationExchange(configurationSource, newestDocument);
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Sets the transport over which messages are sent. */
    public void attach(PeerTransport peerTransport) {
        transport = peerTransport;
    }

    /**
     * Starts to serve operator views to other entries.
     *
     * @param ownViews returns the view with a given name of this entry's shards, in the JSON form
     *     of the API; empty if there is no such view
     * @return an object that fetches views from other entries
     */
    public PeerViews exchangeViews(Function<String, Optional<byte[]>> ownViews) {
        PeerViews exchange = new PeerViews(ownViews, transport);
        views = Optional.of(exchange);
        return exchange;
    }

    /** Sends a message about membership or configuration. */
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
        transport.offer(
                peerAddress, new PeerLink.FrameBatch(List.of(Frame.of(message)), IGNORE_FAILURE));
    }

    /** Forwards a request with its body to the owner of a shard, if its caller still waits. */
    public void forward(RequestEffect.Forward effect) {
        Optional<byte[]> body = registry.body(effect.request());
        Optional<AnswerChannel> channel = registry.channel(effect.request());
        if (body.isEmpty() || channel.isEmpty()) {
            return;
        }
        OutgoingForwards.Attempt attempt =
                outgoing.start(
                        effect.request(), effect.owner(), effect.peerAddress(), channel.get());
        List<Frame> frames = new ArrayList<>();
        frames.add(
                Frame.of(
                        attempt.correlationId(),
                        new PeerMessage.Forward(
                                effect.request().value(), effect.forwarded(), body.get().length)));
        for (int from = 0; from < body.get().length; from += Frame.MAX_CHUNK_BYTES) {
            int to = Math.min(body.get().length, from + Frame.MAX_CHUNK_BYTES);
            frames.add(
                    Frame.of(
                            attempt.correlationId(),
                            new PeerMessage.BodyChunk(Arrays.copyOfRange(body.get(), from, to))));
        }
        transport.offer(
                effect.peerAddress(),
                new PeerLink.FrameBatch(
                        frames, maybeSent -> forwardFailed(attempt.correlationId(), maybeSent)));
    }

    /** Asks the owner of a shard to cancel a forwarded request. */
    public void cancel(RequestEffect.CancelForward effect) {
        outgoing.findNewest(effect.request())
                .ifPresent(
                        attempt ->
                                transport.offer(
                                        effect.peerAddress(),
                                        new PeerLink.FrameBatch(
                                                List.of(
                                                        Frame.of(
                                                                attempt.correlationId(),
                                                                new PeerMessage.Cancel())),
                                                IGNORE_FAILURE)));
    }

    /** Sends the result of a forwarded request to the entry that forwarded it. */
    public void answer(RequestEffect.AnswerForward effect) {
        Optional<IncomingForwards.IncomingRequest> request = incoming.remove(effect.request());
        registry.remove(effect.request());
        request.ifPresent(
                incomingRequest ->
                        sendResult(
                                incomingRequest.sender(),
                                incomingRequest.correlationId(),
                                effect.result()));
    }

    private void complete(IncomingForwards.IncomingRequest request, AttemptResult result) {
        answer(new RequestEffect.AnswerForward(request.id(), request.from(), result));
    }

    private void sendResult(PeerMessage.Hello sender, long correlationId, AttemptResult result) {
        transport.offer(
                sender.peerAddress(),
                answerBatch(sender, correlationId, new PeerMessage.ResponseEnd(result)));
    }

    /**
     * Returns a batch with one message of an answer. If it cannot be sent, the connection on which
     * the request arrived is closed, so that the other entry treats the request as failed instead
     * of waiting until the deadline.
     */
    private PeerLink.FrameBatch answerBatch(
            PeerMessage.Hello sender, long correlationId, PeerMessage message) {
        return new PeerLink.FrameBatch(
                List.of(Frame.of(correlationId, message)),
                maybeSent -> {
                    log.warnf(
                            "event=answer-not-sent to=%s purpose=%s sent=%b",
                            sender.from(), message.purpose(), maybeSent);
                    transport.disconnect(sender);
                });
    }

    /**
     * Fails the requests that were forwarded to {@code peerAddress}, after a connection was lost.
     */
    public void connectionLost(String peerAddress) {
        Thread.startVirtualThread(
                () ->
                        outgoing.endAllTo(peerAddress)
                                .forEach(
                                        attempt ->
                                                events.post(
                                                        new RequestEvent.ForwardFailed(
                                                                clock.millis(),
                                                                attempt.request(),
                                                                attempt.owner(),
                                                                true))));
    }

    private void forwardFailed(long correlationId, boolean maybeSent) {
        outgoing.end(correlationId)
                .ifPresent(
                        attempt ->
                                Thread.startVirtualThread(
                                        () ->
                                                events.post(
                                                        new RequestEvent.ForwardFailed(
                                                                clock.millis(),
                                                                attempt.request(),
                                                                attempt.owner(),
                                                                maybeSent))));
    }

    @Override
    public void receive(PeerMessage.Hello sender, Frame frame) {
        long now = clock.millis();
        switch (frame.message()) {
            // Dropping gossip or a probe is harmless, since they are sent again after a second.
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
            case PeerMessage.Forward m -> receiveForward(sender, frame.correlationId(), m);
            case PeerMessage.BodyChunk m ->
                    receiveBodyChunk(sender, frame.correlationId(), m.bytes());
            case PeerMessage.ResponseChunk m ->
                    receiveResponseChunk(frame.correlationId(), m.bytes());
            case PeerMessage.ResponseComplete m ->
                    receiveResponseComplete(frame.correlationId(), m);
            case PeerMessage.ResponseEnd m ->
                    receiveResponseEnd(sender, frame.correlationId(), m.result());
            case PeerMessage.Credit m ->
                    incoming.find(sender.from(), frame.correlationId())
                            .ifPresent(incomingRequest -> incomingRequest.addCredit(m.chunks()));
            case PeerMessage.Cancel m ->
                    incoming.find(sender.from(), frame.correlationId())
                            .ifPresent(this::cancelIncoming);
            case PeerMessage.ConfigurationFetch m -> sendConfiguration(sender.peerAddress());
            case PeerMessage.ConfigurationPart m ->
                    configurationExchange.receivePart(sender.from(), m);
            case PeerMessage.ViewFetch m ->
                    views.ifPresent(v -> v.serve(sender, frame.correlationId(), m.view()));
            case PeerMessage.ViewPart m ->
                    views.ifPresent(v -> v.receivePart(sender, frame.correlationId(), m));
            case PeerMessage.Hello m -> log.debugf("event=peer-hello from=%s", m.from());
            case PeerMessage.ProtocolError m ->
                    log.warnf("event=peer-protocol-error reason=\"%s\"", m.text());
        }
    }

    /**
     * Cancels the requests that arrived on a closed connection. The entry that forwarded them
     * treats them as failed and sends neither credit nor the remainder of a body. Requests that
     * were forwarded to the sender fail as well, because their answers arrive on this connection
     * and may be lost.
     */
    @Override
    public void senderDisconnected(PeerMessage.Hello sender) {
        connectionLost(sender.peerAddress());
        List<IncomingForwards.IncomingRequest> lost = incoming.findByConnection(sender);
        if (!lost.isEmpty()) {
            Thread.startVirtualThread(() -> lost.forEach(this::cancelIncoming));
        }
    }

    /**
     * Posts an event that must not be lost. The caller is a selector thread, which must not block,
     * so a virtual thread waits while the queue is full. There are at most as many such threads as
     * open forwards.
     */
    private void postWithoutBlocking(Event event) {
        if (!events.offer(event)) {
            Thread.startVirtualThread(() -> events.post(event));
        }
    }

    private void cancelIncoming(IncomingForwards.IncomingRequest request) {
        request.end();
        if (request.isBodyComplete()) {
            postWithoutBlocking(new RequestEvent.RequestCancelled(clock.millis(), request.id()));
        } else {
            incoming.remove(request.id());
        }
    }

    private void receiveForward(
            PeerMessage.Hello sender, long correlationId, PeerMessage.Forward message) {
        if (message.bodyBytes() < 0 || message.bodyBytes() > maxBodyBytes) {
            log.warnf(
                    "event=forward-refused from=%s body_bytes=%d",
                    sender.from(), message.bodyBytes());
            sendResult(
                    sender,
                    correlationId,
                    AttemptResult.notRunHere(RefusalReason.ENTRY_UNREACHABLE));
            return;
        }
        IncomingForwards.IncomingRequest request = incoming.add(sender, correlationId, message);
        if (message.bodyBytes() == 0) {
            submit(request);
        }
    }

    private void receiveBodyChunk(PeerMessage.Hello sender, long correlationId, byte[] bytes) {
        incoming.find(sender.from(), correlationId)
                .ifPresent(
                        incomingRequest -> {
                            if (incomingRequest.isBodyComplete()) {
                                return; // already submitted; must not run twice
                            }
                            incomingRequest.receivedBody().writeBytes(bytes);
                            if (incomingRequest.isBodyComplete()) {
                                submit(incomingRequest);
                            }
                        });
    }

    private void submit(IncomingForwards.IncomingRequest request) {
        registry.add(request.id(), request.receivedBody().toByteArray(), relayTo(request));
        boolean accepted =
                events.offer(
                        new RequestEvent.RequestForwarded(
                                clock.millis(),
                                request.id(),
                                request.from(),
                                request.message().forwarded()));
        if (!accepted) {
            complete(request, AttemptResult.notRunHere(RefusalReason.OVERLOADED));
        }
    }

    /** Returns a sink that relays the answer to the entry that forwarded the request. */
    private RequestRegistry.AnswerSink relayTo(IncomingForwards.IncomingRequest request) {
        return new RequestRegistry.AnswerSink() {
            @Override
            public void accept(byte[] chunk) throws IOException {
                try {
                    request.window().acquire();
                    if (request.ended().get()) {
                        request.window().release();
                        throw new IOException("the forwarded request was cancelled or has ended");
                    }
                    request.answeredBytes().addAndGet(chunk.length);
                    relay(new PeerMessage.ResponseChunk(chunk));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    throw new IOException("interrupted while relaying an answer", e);
                }
            }

            @Override
            public void finish(String contentType) {
                try {
                    relay(
                            new PeerMessage.ResponseComplete(
                                    contentType, request.answeredBytes().get()));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }

            private void relay(PeerMessage message) throws InterruptedException {
                transport.put(
                        request.peerAddress(),
                        answerBatch(request.sender(), request.correlationId(), message));
            }
        };
    }

    private void receiveResponseChunk(long correlationId, byte[] bytes) {
        outgoing.find(correlationId)
                .ifPresent(attempt -> attempt.channel().offer(bytes, () -> sendCredit(attempt)));
    }

    private void sendCredit(OutgoingForwards.Attempt attempt) {
        transport.offer(
                attempt.peerAddress(),
                new PeerLink.FrameBatch(
                        List.of(Frame.of(attempt.correlationId(), new PeerMessage.Credit(1))),
                        // Without this credit the owner would never send the remainder of the
                        // answer.
                        maybeSent -> forwardFailed(attempt.correlationId(), true)));
    }

    private void receiveResponseComplete(long correlationId, PeerMessage.ResponseComplete message) {
        outgoing.find(correlationId)
                .filter(attempt -> attempt.channel().receivedBytes() == message.lengthBytes())
                .ifPresent(attempt -> attempt.channel().finish(message.contentType()));
    }

    private void receiveResponseEnd(
            PeerMessage.Hello sender, long correlationId, AttemptResult result) {
        Optional<OutgoingForwards.Attempt> attempt = outgoing.end(correlationId);
        if (attempt.isEmpty()) {
            return;
        }
        RequestId request = attempt.get().request();
        boolean incomplete =
                result.outcome() == Outcome.DONE && !attempt.get().channel().isFinished();
        postWithoutBlocking(
                incomplete
                        ? new RequestEvent.ForwardFailed(
                                clock.millis(), request, attempt.get().owner(), true)
                        : new RequestEvent.ForwardAnswered(
                                clock.millis(), request, sender.from(), result));
    }

    private void sendConfiguration(String peerAddress) {
        List<Frame> parts = configurationExchange.newestDocumentFrames();
        if (!parts.isEmpty()) {
            transport.offer(peerAddress, new PeerLink.FrameBatch(parts, IGNORE_FAILURE));
        }
    }
}
