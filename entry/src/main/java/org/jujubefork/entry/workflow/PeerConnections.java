package org.jujubefork.entry.workflow;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEffect.Reply;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.core.workflow.WorkflowEvent.Call;
import org.jujubefork.entry.control.Clock;

/**
 * The connections between the entries. Each follower keeps one connection to the leader, which
 * carries heartbeats, forwarded calls, and the leader's requests to call the advice service.
 */
final class PeerConnections implements AutoCloseable {
    /** Interval between heartbeats. */
    private static final int HEARTBEAT_INTERVAL_MILLIS = 300;

    /** A connection on which no message arrives for this time is closed. */
    private static final int READ_TIMEOUT_MILLIS = 2_500;

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Delay between attempts to connect to the leader. */
    private static final int RECONNECT_DELAY_MILLIS = 80;

    /** A leader whose last contact with the store is older counts as having lost the store. */
    private static final long MAX_STORE_CONTACT_AGE_MILLIS = 1_000;

    /**
     * Delay before the connection to a replaced leader is closed, so that queued messages are sent.
     */
    private static final long CLOSE_DELAY_MILLIS = 60;

    private static final int ACCEPT_BACKLOG = 128;

    /** Position of a follower of which the leader has not decided when it replaces the leader. */
    private static final int UNDECIDED_POSITION = -1;

    private static final Logger log = Logger.getLogger(PeerConnections.class);

    /** The parts of the daemon that the connections use. */
    record Context(
            String entry,
            int processorMillicores,
            HostPort address,
            Clock clock,
            Consumer<WorkflowEvent> events,
            PendingCalls pendingCalls,
            AdviceClient adviceClient) {}

    private final Context context;
    private final ServerSocket serverSocket;
    private final Followers followers;
    private final ConcurrentMap<Long, CompletableFuture<Reply>> pendingForwards =
            new ConcurrentHashMap<>();
    private final AtomicLong nextForwardId = new AtomicLong(1);
    private volatile Optional<LeaderRecord> currentLeader = Optional.empty();
    private volatile Optional<Link> leaderLink = Optional.empty();
    private volatile boolean leading;
    private volatile boolean resigned;
    private volatile List<String> successors = List.of();
    private volatile boolean open = true;

    /** Used by the thread that reads from the leader only. */
    private int announcedPosition = UNDECIDED_POSITION;

    private PeerConnections(Context context, ServerSocket server) {
        this.context = context;
        this.serverSocket = server;
        this.followers = new Followers(this::isLeading, context.clock(), context.events());
    }

    /**
     * Starts the threads that accept, open and use connections.
     *
     * @param storeAgeMillis returns the time since this entry's last contact with the store
     * @throws IOException if the address of this entry cannot be bound
     */
    static PeerConnections start(Context context, LongSupplier storeAgeMillis) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(
                new InetSocketAddress(context.address().host(), context.address().port()),
                ACCEPT_BACKLOG);
        PeerConnections peers = new PeerConnections(context, server);
        Thread.ofVirtual().name("peer-accept").start(peers::acceptConnections);
        Thread.ofVirtual().name("peer-upstream").start(peers::maintainLeaderConnection);
        Thread.ofVirtual().name("peer-beat").start(() -> peers.sendHeartbeats(storeAgeMillis));
        return peers;
    }

    /**
     * Starts to serve the other entries as their leader, and closes the connection to the previous
     * leader. Called in the control thread, so it must not block.
     *
     * @param leader the record of this entry's term
     */
    void startLeading(LeaderRecord leader) {
        currentLeader = Optional.of(leader);
        leading = true;
        leavePreviousLeader(leader);
        followers.postAsync();
    }

    /** Sets the order in which the followers replace this leader; heartbeats announce it. */
    void announceSuccession(List<String> entries) {
        successors = entries;
    }

    /**
     * Starts to maintain a connection to {@code leader}, and informs the previous leader that it
     * has been replaced.
     */
    void startFollowing(LeaderRecord leader) {
        currentLeader = Optional.of(leader);
        leading = false;
        leavePreviousLeader(leader);
    }

    private void leavePreviousLeader(LeaderRecord newLeader) {
        leaderLink.ifPresent(
                link -> {
                    link.send(new LinkMessage.LeaderReplaced(newLeader));
                    Thread.ofVirtual().start(() -> closeAfterSending(link));
                });
    }

    private static void closeAfterSending(Link link) {
        try {
            Thread.sleep(CLOSE_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        link.close();
    }

    /**
     * Tells all followers that this entry gives up leadership. From now on the announcement takes
     * the place of the heartbeats, so that followers that connect later get it, too.
     */
    void announceResignation() {
        resigned = true;
        followers.forEach((name, link) -> link.send(new LinkMessage.LeaderResigned()));
    }

    /** Returns whether this entry is the leader. */
    boolean isLeading() {
        return leading;
    }

    /** Returns whether this entry has an open connection to a leader. */
    boolean isConnected() {
        return leaderLink.map(Link::isOpen).orElse(false);
    }

    /**
     * Forwards {@code call} to the leader.
     *
     * @return the future answer, which fails if the connection ends before the answer arrives;
     *     empty if there is no connection to the leader
     */
    Optional<CompletableFuture<Reply>> forward(Call call) {
        Optional<Link> connectedLink = leaderLink.filter(Link::isOpen);
        if (connectedLink.isEmpty()) {
            return Optional.empty();
        }
        long id = nextForwardId.getAndIncrement();
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        pendingForwards.put(id, reply);
        if (!connectedLink.get().send(new LinkMessage.Forward(id, call))) {
            failPendingForwards();
        }
        return Optional.of(reply);
    }

    /**
     * Asks another entry to call the advice service.
     *
     * @return whether the request was queued; false if that entry is not connected
     */
    boolean requestAdvice(WorkflowEffect.RequestAdvice request, long timeoutMillis) {
        LinkMessage message =
                new LinkMessage.AdviceRequest(
                        request.fence(),
                        request.step(),
                        request.workers(),
                        timeoutMillis,
                        request.number());
        return followers.link(request.advisor()).map(l -> l.send(message)).orElse(false);
    }

    private void acceptConnections() {
        while (open) {
            try {
                Socket socket = serverSocket.accept();
                Thread.ofVirtual().name("peer-follower").start(() -> serveFollower(socket));
            } catch (IOException e) {
                if (open) {
                    log.warnf("event=peer-accept-failed reason=\"%s\"", e.getMessage());
                }
            }
        }
    }

    private void serveFollower(Socket socket) {
        // An array, so that the lambda can set the name; "" until the follower has sent its name.
        String[] followerName = {""};
        try (Link link = Link.over(socket)) {
            link.readMessages(
                    READ_TIMEOUT_MILLIS,
                    m -> followerName[0] = handleFollowerMessage(link, followerName[0], m));
        } catch (IOException e) {
            log.debugf(
                    "event=follower-lost entry=%s reason=\"%s\"", followerName[0], e.getMessage());
        } finally {
            followers.removeIfClosed(followerName[0]);
        }
    }

    /** Handles a message of a follower and returns the follower's name. */
    private String handleFollowerMessage(Link link, String followerName, LinkMessage message) {
        switch (message) {
            case LinkMessage.Hello hello -> {
                boolean isChanged = followers.add(hello.entry(), link, hello.processorMillicores());
                if (isChanged && leading && resigned) {
                    link.send(new LinkMessage.LeaderResigned());
                }
                return hello.entry();
            }
            case LinkMessage.Forward forward -> {
                long id =
                        context.pendingCalls()
                                .add(r -> link.send(new LinkMessage.ForwardReply(forward.id(), r)));
                context.events()
                        .accept(
                                new WorkflowEvent.CallArrived(
                                        context.clock().millis(), id, forward.call()));
            }
            case LinkMessage.LeaderReplaced replaced -> {
                long now = context.clock().millis();
                context.events()
                        .accept(
                                new WorkflowEvent.LeaderRead(
                                        now, now, Optional.of(replaced.leader())));
            }
            case LinkMessage.AdviceReply advice ->
                    context.events()
                            .accept(
                                    new WorkflowEvent.AdviceCompleted(
                                            context.clock().millis(),
                                            advice.fence(),
                                            advice.number(),
                                            advice.tickets()));
            default ->
                    log.warnf(
                            "event=peer-message-unexpected from=%s type=%s", followerName, message);
        }
        return followerName;
    }

    private void sendHeartbeats(LongSupplier storeAgeMillis) {
        while (open) {
            if (leading) {
                sendLeaderHeartbeats(storeAgeMillis.getAsLong());
            } else {
                leaderLink.ifPresent(l -> l.send(hello()));
            }
            pause(HEARTBEAT_INTERVAL_MILLIS);
        }
    }

    private void sendLeaderHeartbeats(long storeAgeMillis) {
        Map<String, Integer> positions = new HashMap<>();
        for (String successor : successors) {
            positions.put(successor, positions.size());
        }
        followers.forEach(
                (name, link) -> {
                    int position = positions.getOrDefault(name, UNDECIDED_POSITION);
                    link.send(
                            resigned
                                    ? new LinkMessage.LeaderResigned()
                                    : new LinkMessage.Heartbeat(storeAgeMillis, position));
                });
    }

    private LinkMessage.Hello hello() {
        return new LinkMessage.Hello(context.entry(), context.processorMillicores());
    }

    private void maintainLeaderConnection() {
        while (open) {
            Optional<LeaderRecord> leader = currentLeader;
            if (leader.isPresent() && !leading) {
                connectToLeader(leader.get());
            }
            pause(RECONNECT_DELAY_MILLIS);
        }
    }

    private void connectToLeader(LeaderRecord leader) {
        try (Link link = Link.connect(HostPort.parse(leader.address()), CONNECT_TIMEOUT_MILLIS)) {
            link.send(hello());
            announcedPosition = UNDECIDED_POSITION;
            leaderLink = Optional.of(link);
            link.readMessages(READ_TIMEOUT_MILLIS, m -> handleLeaderMessage(link, leader, m));
        } catch (ConnectException e) {
            postLeaderSignalReceived(leader, WorkflowEvent.LeaderSignal.CONNECTION_REFUSED);
        } catch (IOException e) {
            log.debugf("event=leader-lost leader=%s reason=\"%s\"", leader.entry(), e.getMessage());
        } finally {
            leaderLink = Optional.empty();
            failPendingForwards();
        }
    }

    private void handleLeaderMessage(Link link, LeaderRecord leader, LinkMessage message) {
        switch (message) {
            case LinkMessage.Heartbeat heartbeat -> handleHeartbeat(leader, heartbeat);
            case LinkMessage.LeaderResigned resigned ->
                    postLeaderSignalReceived(leader, WorkflowEvent.LeaderSignal.RESIGNED);
            case LinkMessage.ForwardReply reply -> {
                CompletableFuture<Reply> forward = pendingForwards.remove(reply.id());
                if (forward != null) {
                    forward.complete(reply.reply());
                }
            }
            case LinkMessage.AdviceRequest request ->
                    Thread.ofVirtual().start(() -> answerAdviceRequest(link, request));
            default -> log.warnf("event=peer-message-unexpected from=%s", leader.entry());
        }
    }

    private void handleHeartbeat(LeaderRecord leader, LinkMessage.Heartbeat heartbeat) {
        postLeaderSignalReceived(
                leader,
                heartbeat.storeAgeMillis() > MAX_STORE_CONTACT_AGE_MILLIS
                        ? WorkflowEvent.LeaderSignal.HEARTBEAT_WITHOUT_STORE
                        : WorkflowEvent.LeaderSignal.HEARTBEAT);
        if (heartbeat.successionPosition() != announcedPosition) {
            announcedPosition = heartbeat.successionPosition();
            context.events()
                    .accept(
                            new WorkflowEvent.SuccessionAnnounced(
                                    context.clock().millis(), leader.address(), announcedPosition));
        }
    }

    private void answerAdviceRequest(Link link, LinkMessage.AdviceRequest request) {
        Optional<Map<String, String>> tickets =
                context.adviceClient()
                        .requestTickets(
                                request.step(),
                                request.workers(),
                                Duration.ofMillis(request.timeoutMillis()));
        link.send(
                new LinkMessage.AdviceReply(
                        request.fence(), request.step(), tickets, request.number()));
    }

    private void postLeaderSignalReceived(LeaderRecord leader, WorkflowEvent.LeaderSignal signal) {
        context.events()
                .accept(
                        new WorkflowEvent.LeaderSignalReceived(
                                context.clock().millis(), leader.address(), signal));
    }

    private void failPendingForwards() {
        for (long id : pendingForwards.keySet()) {
            CompletableFuture<Reply> forward = pendingForwards.remove(id);
            if (forward != null) {
                forward.completeExceptionally(
                        new IOException(
                                "connection to the leader closed before the answer arrived"));
            }
        }
    }

    private void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            open = false;
        }
    }

    @Override
    public void close() throws IOException {
        open = false;
        serverSocket.close();
        leaderLink.ifPresent(Link::close);
        followers.forEach((name, link) -> link.close());
    }
}
