package org.jujubefork.entry.peer;

import java.io.IOException;
import java.net.BindException;
import java.time.Duration;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.jboss.logging.Logger;
import org.jujubefork.config.settings.HostPort;

/**
 * Accepts connections from other entries and opens connections to them. Each connection carries
 * frames in one direction only, from the entry that opened it; only a {@link
 * PeerMessage.ProtocolError} is sent the other way.
 */
public final class PeerTransport implements AutoCloseable {
    private static final int SELECTOR_THREADS = 1;
    private static final int CONNECT_TIMEOUT_SECONDS = 1;

    /** Time without messages after which a link without an open connection is removed. */
    private static final Duration LINK_IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final Attribute<PeerMessage.Hello> SENDER_ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("jujubefork.sender");
    private static final Attribute<String> TARGET_ADDRESS_ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("jujubefork.target");
    private static final Logger log = Logger.getLogger(PeerTransport.class);

    /** Handles messages from other entries. Its methods are called on a selector thread. */
    @FunctionalInterface
    public interface Receiver {
        /** Handles {@code frame}, which arrived on a connection that {@code sender} opened. */
        void receive(PeerMessage.Hello sender, Frame frame);

        /** Handles the loss of the connection on which {@code sender} was received. */
        default void senderDisconnected(PeerMessage.Hello sender) {}
    }

    private final TCPNIOTransport transport;
    private final Frame hello;
    private final ConcurrentHashMap<String, PeerLink> links = new ConcurrentHashMap<>();
    private final Consumer<String> connectionLost;

    private final Duration linkIdleTimeout;

    /**
     * Incoming connections by the HELLO received on them. Keys are compared by identity, because an
     * entry that reconnects sends an equal HELLO on its new connection.
     */
    private final Map<PeerMessage.Hello, Connection<?>> connectionsBySender =
            Collections.synchronizedMap(new IdentityHashMap<>());

    private PeerTransport(
            Frame hello,
            Receiver receiver,
            Consumer<String> connectionLost,
            TrafficMeter meter,
            Duration linkIdleTimeout) {
        this.hello = hello;
        this.linkIdleTimeout = linkIdleTimeout;
        this.connectionLost = connectionLost;
        this.transport =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorRunnersCount(SELECTOR_THREADS)
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .build();
        transport.setProcessor(
                FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new FrameFilter(sentBytesCounter(meter)))
                        .add(new ReceiveFilter(receiver, connectionsBySender))
                        .build());
    }

    /**
     * Returns a transport that accepts connections.
     *
     * @param listen address to bind
     * @param hello the first message on each connection that this entry opens
     * @param receiver handles the messages; must not block
     * @param connectionLost receives the peer address of each closed outgoing connection
     * @param meter counts the bytes that are sent
     * @throws IOException if the address cannot be bound
     */
    public static PeerTransport start(
            HostPort listen,
            PeerMessage.Hello hello,
            Receiver receiver,
            Consumer<String> connectionLost,
            TrafficMeter meter)
            throws IOException {
        return start(listen, hello, receiver, connectionLost, meter, LINK_IDLE_TIMEOUT);
    }

    static PeerTransport start(
            HostPort listen,
            PeerMessage.Hello hello,
            Receiver receiver,
            Consumer<String> connectionLost,
            TrafficMeter meter,
            Duration linkIdleTimeout)
            throws IOException {
        PeerTransport peerTransport =
                new PeerTransport(
                        Frame.of(hello), receiver, connectionLost, meter, linkIdleTimeout);
        try {
            peerTransport.transport.bind(listen.host(), listen.port());
        } catch (BindException e) {
            throw new BindException("peerAddress " + listen + ": " + e.getMessage());
        }
        peerTransport.transport.start();
        return peerTransport;
    }

    private static SentBytesCounter sentBytesCounter(TrafficMeter meter) {
        return (connection, message, bytes) -> {
            String target = TARGET_ADDRESS_ATTRIBUTE.get(connection);
            meter.count(target == null ? "" : target, message.purpose(), bytes);
        };
    }

    /** Queues {@code batch}; if the queue is full, calls its failure handler at once. */
    void offer(String peerAddress, PeerLink.FrameBatch batch) {
        PeerLink link = linkTo(peerAddress);
        while (!link.offer(batch)) {
            remove(link);
            link = linkTo(peerAddress);
        }
    }

    /** Queues {@code batch}, blocking while the queue for {@code peerAddress} is full. */
    void put(String peerAddress, PeerLink.FrameBatch batch) throws InterruptedException {
        PeerLink link = linkTo(peerAddress);
        while (!link.put(batch)) {
            remove(link);
            link = linkTo(peerAddress);
        }
    }

    private PeerLink linkTo(String peerAddress) {
        return links.computeIfAbsent(
                peerAddress,
                address ->
                        PeerLink.open(
                                address, this::connect, hello, linkIdleTimeout, this::remove));
    }

    private void remove(PeerLink link) {
        links.remove(link.peerAddress(), link);
    }

    /** Returns the number of links, with and without an open connection. */
    int linkCount() {
        return links.size();
    }

    /** Closes the connection on which {@code sender} was received; the other entry notices this. */
    void disconnect(PeerMessage.Hello sender) {
        Connection<?> connection = connectionsBySender.get(sender);
        if (connection != null) {
            connection.terminateSilently();
        }
    }

    private Connection<?> connect(String peerAddress) throws IOException {
        HostPort target = HostPort.parse(peerAddress);
        try {
            Connection<?> connection =
                    transport
                            .connect(target.host(), target.port())
                            .get(CONNECT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            TARGET_ADDRESS_ATTRIBUTE.set(connection, peerAddress);
            connection.closeFuture().addCompletionHandler(onClose(peerAddress));
            return connection;
        } catch (ExecutionException e) {
            throw new IOException("connect failed: " + e.getCause().getMessage(), e);
        } catch (TimeoutException e) {
            throw new IOException("no connection within " + CONNECT_TIMEOUT_SECONDS + " s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while connecting", e);
        }
    }

    private EmptyCompletionHandler<CloseReason> onClose(String peerAddress) {
        return new EmptyCompletionHandler<>() {
            @Override
            public void completed(CloseReason reason) {
                connectionLost.accept(peerAddress);
            }
        };
    }

    @Override
    public void close() throws IOException {
        links.values().forEach(PeerLink::close);
        transport.shutdownNow();
    }

    /** Passes frames to the receiver; rejects connections that do not start with a HELLO. */
    private static final class ReceiveFilter extends BaseFilter {
        private final Receiver receiver;
        private final Map<PeerMessage.Hello, Connection<?>> connectionsBySender;

        ReceiveFilter(
                Receiver receiver, Map<PeerMessage.Hello, Connection<?>> connectionsBySender) {
            this.receiver = receiver;
            this.connectionsBySender = connectionsBySender;
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            Frame frame = context.getMessage();
            Connection<?> connection = context.getConnection();
            if (frame.message() instanceof PeerMessage.Hello introduction) {
                SENDER_ATTRIBUTE.set(connection, introduction);
                connectionsBySender.put(introduction, connection);
            } else if (frame.message() instanceof PeerMessage.ProtocolError error) {
                log.warnf(
                        "event=peer-protocol-error from=%s reason=\"%s\"",
                        context.getAddress(), error.text());
                connection.terminateSilently();
            } else if (SENDER_ATTRIBUTE.get(connection) == null) {
                log.warnf(
                        "event=peer-refused from=%s reason=\"the first message is not HELLO\"",
                        context.getAddress());
                connection.terminateSilently();
            } else {
                receiver.receive(SENDER_ATTRIBUTE.get(connection), frame);
            }
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            PeerMessage.Hello sender = SENDER_ATTRIBUTE.get(context.getConnection());
            if (sender != null) {
                connectionsBySender.remove(sender);
                receiver.senderDisconnected(sender);
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            log.debugf("event=peer-connection-failed reason=\"%s\"", error);
        }
    }
}
