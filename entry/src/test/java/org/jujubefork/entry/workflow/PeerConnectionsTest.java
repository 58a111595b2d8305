package org.jujubefork.entry.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.core.workflow.WorkflowEvent.FollowersChanged;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.ReducerLoop;
import org.testng.annotations.Test;

/** Guards against a leader that works with a wrong set of followers, or none at all. */
public final class PeerConnectionsTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    /** How long a post is held back, so that a later one can overtake it. */
    private static final long HELD_MILLIS = 1_000;

    private static final int PROCESSOR_MILLICORES = 1_000;

    private static HostPort freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        }
    }

    private static PeerConnections start(HostPort address, Consumer<WorkflowEvent> events)
            throws IOException {
        return PeerConnections.start(
                new PeerConnections.Context(
                        "e",
                        PROCESSOR_MILLICORES,
                        address,
                        Clock.SYSTEM,
                        events,
                        new PendingCalls(),
                        (step, workers, timeout) -> Optional.empty()),
                () -> 0);
    }

    private static LeaderRecord record(HostPort address) {
        return new LeaderRecord("e", address.toString(), 1, 1, true);
    }

    private static Socket connect(HostPort address, String follower) throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        new LinkMessage.Hello(follower, PROCESSOR_MILLICORES)
                .writeTo(new DataOutputStream(socket.getOutputStream()));
        return socket;
    }

    private static boolean await(BooleanSupplier condition, long millis)
            throws InterruptedException {
        long deadline = Clock.SYSTEM.millis() + millis;
        while (!condition.getAsBoolean() && Clock.SYSTEM.millis() < deadline) {
            Thread.sleep(5);
        }
        return condition.getAsBoolean();
    }

    private static Set<String> names(WorkflowEvent event) {
        return event instanceof FollowersChanged changed ? changed.followers().keySet() : Set.of();
    }

    /** Guards against an older set of followers that replaces a newer one. */
    @Test
    public void olderSetOfFollowersDoesNotReplaceNewerOne() throws Exception {
        List<Set<String>> posted = new CopyOnWriteArrayList<>();
        CountDownLatch holdsFirst = new CountDownLatch(1);
        Consumer<WorkflowEvent> events =
                event -> {
                    if (names(event).equals(Set.of("f1"))) {
                        holdsFirst.countDown();
                        hold(() -> posted.contains(Set.of("f1", "f2")));
                    }
                    posted.add(names(event));
                };
        HostPort address = freeAddress();
        try (PeerConnections peers = start(address, events)) {
            peers.startLeading(record(address));
            try (Socket first = connect(address, "f1")) {
                assertTrue(holdsFirst.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
                try (Socket second = connect(address, "f2")) {
                    assertTrue(
                            await(
                                    () ->
                                            posted.contains(Set.of("f1"))
                                                    && posted.contains(Set.of("f1", "f2")),
                                    TIMEOUT_MILLIS),
                            "posted " + posted);
                    assertEquals(
                            posted.get(posted.size() - 1), Set.of("f1", "f2"), "posted " + posted);
                    assertTrue(first.isConnected() && second.isConnected());
                }
            }
        }
    }

    private static void hold(BooleanSupplier condition) {
        try {
            await(condition, HELD_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Guards against a control thread that waits for room in its own queue. Heartbeats and the
     * lease of the leader go on in other threads, so no other entry would replace this leader.
     */
    @Test
    public void startOfTermDoesNotWaitForFullQueue() throws Exception {
        HostPort address = freeAddress();
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch posted = new CountDownLatch(1);
        ReducerLoop<Integer, WorkflowEvent, String> loop =
                ReducerLoop.of(
                        new ReducerLoop.Setup<>(
                                0,
                                (state, event) -> {
                                    if (event instanceof FollowersChanged) {
                                        posted.countDown();
                                    }
                                    return new ReducerLoop.ReducerResult<>(
                                            state,
                                            event instanceof WorkflowEvent.ResignRequested
                                                    ? List.of("lead")
                                                    : List.of());
                                },
                                now -> new WorkflowEvent.Tick(now, now),
                                HELD_MILLIS,
                                state -> Long.MAX_VALUE,
                                Clock.SYSTEM,
                                1));
        try (PeerConnections peers = start(address, loop::post);
                loop) {
            loop.start(
                    effect -> {
                        loop.offer(new WorkflowEvent.Tick(0, 0));
                        peers.startLeading(record(address));
                        started.countDown();
                    });
            loop.post(new WorkflowEvent.ResignRequested(0));
            assertTrue(
                    started.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                    "the control thread waits for itself");
            assertTrue(
                    posted.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                    "the followers were not posted");
        }
    }

    /**
     * Guards against requests that wait for their timeout because they were sent over a connection
     * that the follower has replaced, for example after its restart.
     */
    @Test
    public void followerThatConnectsAnewLeavesAndJoins() throws Exception {
        List<Set<String>> posted = new CopyOnWriteArrayList<>();
        HostPort address = freeAddress();
        try (PeerConnections peers = start(address, e -> posted.add(names(e)))) {
            peers.startLeading(record(address));
            assertTrue(await(() -> posted.contains(Set.of()), TIMEOUT_MILLIS));
            try (Socket first = connect(address, "f")) {
                assertTrue(await(() -> posted.contains(Set.of("f")), TIMEOUT_MILLIS));
                posted.clear();
                try (Socket second = connect(address, "f")) {
                    assertTrue(await(() -> posted.contains(Set.of("f")), TIMEOUT_MILLIS));
                    assertEquals(posted, List.of(Set.of(), Set.of("f")));
                    assertTrue(first.isConnected() && second.isConnected());
                }
            }
        }
    }
}
