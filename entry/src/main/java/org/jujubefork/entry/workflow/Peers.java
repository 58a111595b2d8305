package org.jujubefork.entry.workflow;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
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
import org.pcollections.HashTreePSet;

/**
 * The connections between the entries: each entry keeps one to the leader. It carries heartbeats,
 * the calls of callers, and the leader's requests to ask for advice.
 */
final class Peers implements AutoCloseable {
    /** Time between two heartbeats in milliseconds. */
    private static final int BEAT_MILLIS = 300;

    /** A connection without a message for this time is dropped, in milliseconds. */
    private static final int SILENCE_MILLIS = 2_500;

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Time between two attempts to reach the leader in milliseconds. */
    private static final int RECONNECT_MILLIS = 80;

    /** A leader whose last contact with the store is older says that it has none. */
    private static final long STORE_LOST_MILLIS = 1_200;

    /** Time for the last message to a leader that was replaced. */
    private static final long LEAVE_MILLIS = 60;

    private static final int BACKLOG = 128;

    private static final Logger log = Logger.getLogger(Peers.class);

    /** What the connections need of the daemon. */
    record Context(
            String entry,
            HostPort address,
            Clock clock,
            Consumer<WorkflowEvent> events,
            Requests requests,
            Advisor advisor) {}

    private final Context context;
    private final ServerSocket server;
    private final ConcurrentMap<String, Link> followers = new ConcurrentHashMap<>();
    private final ConcurrentMap<Long, CompletableFuture<Reply>> forwards =
            new ConcurrentHashMap<>();
    private final AtomicLong nextForward = new AtomicLong(1);
    private volatile Optional<LeaderRecord> followed = Optional.empty();
    private volatile Optional<Link> upstream = Optional.empty();
    private volatile boolean leading;
    private volatile boolean open = true;

    private Peers(Context context, ServerSocket server) {
        this.context = context;
        this.server = server;
    }

    /**
     * Starts to accept connections.
     *
     * @param storeAge returns the time since this entry's last contact with the store
     * @throws IOException if the address cannot be bound
     */
    static Peers start(Context context, LongSupplier storeAge) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(
                new InetSocketAddress(context.address().host(), context.address().port()), BACKLOG);
        Peers peers = new Peers(context, server);
        Thread.ofVirtual().name("peer-accept").start(peers::accept);
        Thread.ofVirtual().name("peer-upstream").start(peers::keepUpstream);
        Thread.ofVirtual().name("peer-beat").start(() -> peers.beat(storeAge));
        return peers;
    }

    /** Serves the other entries as their leader. */
    void lead(LeaderRecord leader) {
        followed = Optional.of(leader);
        leading = true;
        leave(leader);
        postAdvisors();
    }

    /** Keeps a connection to {@code leader}, and tells the one before that it is replaced. */
    void follow(LeaderRecord leader) {
        followed = Optional.of(leader);
        leading = false;
        leave(leader);
    }

    private void leave(LeaderRecord next) {
        upstream.ifPresent(
                link -> {
                    link.send(new LinkMessage.Replaced(next));
                    Thread.ofVirtual().start(() -> closeLater(link));
                });
    }

    private static void closeLater(Link link) {
        try {
            Thread.sleep(LEAVE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        link.close();
    }

    /** Tells all followers that this entry stops leading. */
    void resign() {
        followers.values().forEach(l -> l.send(new LinkMessage.Resigned()));
    }

    /** Returns whether this entry leads. */
    boolean isLeading() {
        return leading;
    }

    /** Returns whether there is a connection to the leader. */
    boolean isConnected() {
        return upstream.map(Link::isOpen).orElse(false);
    }

    /**
     * Sends {@code call} to the leader.
     *
     * @return the answer; fails when the connection ends before it; empty if there is no connection
     */
    Optional<CompletableFuture<Reply>> forward(Call call) {
        Optional<Link> link = upstream.filter(Link::isOpen);
        if (link.isEmpty()) {
            return Optional.empty();
        }
        long id = nextForward.getAndIncrement();
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        forwards.put(id, reply);
        if (!link.get().send(new LinkMessage.Forward(id, call))) {
            failForwards();
        }
        return Optional.of(reply);
    }

    /**
     * Has another entry ask the advice service.
     *
     * @return whether there is a connection to it
     */
    boolean ask(WorkflowEffect.RequestAdvice advise, long timeoutMillis) {
        Link link = followers.get(advise.advisor());
        return link != null
                && link.send(
                        new LinkMessage.Ask(
                                advise.fence(), advise.step(), advise.workers(), timeoutMillis));
    }

    private void postAdvisors() {
        context.events()
                .accept(
                        new WorkflowEvent.AdvisorsChanged(
                                context.clock().millis(),
                                HashTreePSet.from(followers.keySet()).plus(context.entry())));
    }

    private void accept() {
        while (open) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().name("peer-follower").start(() -> serve(socket));
            } catch (IOException e) {
                if (open) {
                    log.warnf("event=peer-accept-failed reason=\"%s\"", e.getMessage());
                }
            }
        }
    }

    private void serve(Socket socket) {
        String[] name = {""};
        try (Link link = Link.over(socket)) {
            link.read(SILENCE_MILLIS, m -> name[0] = received(link, name[0], m));
        } catch (IOException e) {
            log.debugf("event=follower-lost entry=%s reason=\"%s\"", name[0], e.getMessage());
        } finally {
            followers.computeIfPresent(name[0], (n, l) -> l.isOpen() ? l : null);
            if (leading) {
                postAdvisors();
            }
        }
    }

    /** Handles a message of a follower and returns its name. */
    private String received(Link link, String name, LinkMessage message) {
        switch (message) {
            case LinkMessage.Hello hello -> {
                if (followers.put(hello.entry(), link) != link && leading) {
                    postAdvisors();
                }
                return hello.entry();
            }
            case LinkMessage.Forward forward -> {
                long id =
                        context.requests()
                                .open(r -> link.send(new LinkMessage.Replied(forward.id(), r)));
                context.events()
                        .accept(
                                new WorkflowEvent.CallArrived(
                                        context.clock().millis(), id, forward.call()));
            }
            case LinkMessage.Replaced replaced -> {
                long now = context.clock().millis();
                context.events()
                        .accept(
                                new WorkflowEvent.LeaderRead(
                                        now, now, Optional.of(replaced.leader())));
            }
            case LinkMessage.Advice advice ->
                    context.events()
                            .accept(
                                    new WorkflowEvent.AdviceCompleted(
                                            context.clock().millis(),
                                            advice.fence(),
                                            advice.step(),
                                            name,
                                            advice.tickets()));
            default -> log.warnf("event=peer-message-unexpected from=%s type=%s", name, message);
        }
        return name;
    }

    private void beat(LongSupplier storeAge) {
        while (open) {
            LinkMessage beat =
                    leading
                            ? new LinkMessage.Beat(storeAge.getAsLong())
                            : new LinkMessage.Hello(context.entry());
            if (leading) {
                followers.values().forEach(l -> l.send(beat));
            } else {
                upstream.ifPresent(l -> l.send(beat));
            }
            pause(BEAT_MILLIS);
        }
    }

    private void keepUpstream() {
        while (open) {
            Optional<LeaderRecord> leader = followed;
            if (leader.isPresent() && !leading) {
                connect(leader.get());
            }
            pause(RECONNECT_MILLIS);
        }
    }

    private void connect(LeaderRecord leader) {
        try (Link link = Link.connect(HostPort.parse(leader.address()), CONNECT_TIMEOUT_MILLIS)) {
            link.send(new LinkMessage.Hello(context.entry()));
            upstream = Optional.of(link);
            link.read(SILENCE_MILLIS, m -> fromLeader(link, leader, m));
        } catch (ConnectException e) {
            seen(leader, WorkflowEvent.LeaderSignal.CONNECTION_REFUSED);
        } catch (IOException e) {
            log.debugf("event=leader-lost leader=%s reason=\"%s\"", leader.entry(), e.getMessage());
        } finally {
            upstream = Optional.empty();
            failForwards();
        }
    }

    private void fromLeader(Link link, LeaderRecord leader, LinkMessage message) {
        switch (message) {
            case LinkMessage.Beat beat ->
                    seen(
                            leader,
                            beat.storeAgeMillis() > STORE_LOST_MILLIS
                                    ? WorkflowEvent.LeaderSignal.HEARTBEAT_WITHOUT_STORE
                                    : WorkflowEvent.LeaderSignal.HEARTBEAT);
            case LinkMessage.Resigned resigned -> seen(leader, WorkflowEvent.LeaderSignal.RESIGNED);
            case LinkMessage.Replied replied -> {
                CompletableFuture<Reply> forward = forwards.remove(replied.id());
                if (forward != null) {
                    forward.complete(replied.reply());
                }
            }
            case LinkMessage.Ask ask -> Thread.ofVirtual().start(() -> answer(link, ask));
            default -> log.warnf("event=peer-message-unexpected from=%s", leader.entry());
        }
    }

    private void answer(Link link, LinkMessage.Ask ask) {
        Optional<Map<String, String>> tickets =
                context.advisor()
                        .ask(ask.step(), ask.workers(), Duration.ofMillis(ask.timeoutMillis()));
        link.send(new LinkMessage.Advice(ask.fence(), ask.step(), tickets));
    }

    private void seen(LeaderRecord leader, WorkflowEvent.LeaderSignal seen) {
        context.events()
                .accept(
                        new WorkflowEvent.LeaderSignalReceived(
                                context.clock().millis(), leader.address(), seen));
    }

    private void failForwards() {
        for (long id : forwards.keySet()) {
            CompletableFuture<Reply> forward = forwards.remove(id);
            if (forward != null) {
                forward.completeExceptionally(
                        new IOException("the connection to the leader ended"));
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
        server.close();
        upstream.ifPresent(Link::close);
        followers.values().forEach(Link::close);
    }
}
