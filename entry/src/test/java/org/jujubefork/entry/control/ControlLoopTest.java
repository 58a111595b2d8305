package org.jujubefork.entry.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujubefork.core.control.EntryIdentity;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Timing;
import org.jujubefork.core.event.DrainRequested;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Location;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/**
 * Guards against a control thread that stops after an exception, and against an event queue without
 * a bound.
 */
public final class ControlLoopTest {
    private static final long SEED = Long.getLong("jujubefork.seed", 7);
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int QUEUE_CAPACITY = 4;

    private static ControlLoop newLoop() {
        EntryIdentity self =
                new EntryIdentity(
                        EntryId.of("e1", 1),
                        Location.of("r", "z", ""),
                        "127.0.0.1:1",
                        "127.0.0.1:2");
        State initialState = State.initial(self, Timing.DEFAULT, Clock.SYSTEM.millis());
        return ControlLoop.of(initialState, Clock.SYSTEM, new Random(SEED), QUEUE_CAPACITY);
    }

    private static void awaitTickAt(ControlLoop loop, long millis) throws InterruptedException {
        long deadline = Clock.SYSTEM.millis() + TIMEOUT_MILLIS;
        while (loop.state().nowMillis() < millis) {
            assertTrue(Clock.SYSTEM.millis() < deadline, "no tick reached " + millis);
            Thread.sleep(5);
        }
    }

    @Test
    public void reducerExceptionDoesNotStopTheLoop() throws InterruptedException {
        try (ControlLoop loop = newLoop()) {
            loop.start(effect -> {});
            loop.post(new MembershipEvent.PeersDiscovered(Clock.SYSTEM.millis(), null));
            loop.post(new DrainRequested(Clock.SYSTEM.millis()));
            awaitTickAt(loop, Clock.SYSTEM.millis() + 2 * ControlLoop.TICK_INTERVAL_MILLIS);
            assertTrue(loop.state().draining());
        }
    }

    @Test
    public void executorExceptionDoesNotPreventOtherEffects() throws InterruptedException {
        AtomicInteger effectCount = new AtomicInteger();
        CountDownLatch fourEffectsExecuted = new CountDownLatch(4);
        try (ControlLoop loop = newLoop()) {
            loop.start(
                    effect -> {
                        effectCount.incrementAndGet();
                        fourEffectsExecuted.countDown();
                        throw new IllegalStateException("no effect works");
                    });
            loop.post(
                    new MembershipEvent.PeersDiscovered(
                            Clock.SYSTEM.millis(),
                            TreePVector.<String>empty().plus("127.0.0.1:3").plus("127.0.0.1:4")));
            assertTrue(
                    fourEffectsExecuted.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                    effectCount + " effects");
            awaitTickAt(loop, Clock.SYSTEM.millis() + ControlLoop.TICK_INTERVAL_MILLIS);
        }
    }

    @Test
    public void postBlocksWhileTheQueueIsFull() throws InterruptedException {
        try (ControlLoop loop = newLoop()) {
            AtomicInteger postedCount = new AtomicInteger();
            Thread poster =
                    Thread.startVirtualThread(
                            () -> {
                                for (int i = 0; i < 2 * QUEUE_CAPACITY; i++) {
                                    loop.post(new DrainRequested(Clock.SYSTEM.millis()));
                                    postedCount.incrementAndGet();
                                }
                            });
            poster.join(java.time.Duration.ofMillis(200));
            assertEquals(postedCount.get(), QUEUE_CAPACITY);
            assertEquals(loop.backlog(), QUEUE_CAPACITY);
            loop.start(effect -> {});
            assertTrue(poster.join(java.time.Duration.ofMillis(TIMEOUT_MILLIS)));
            assertEquals(postedCount.get(), 2 * QUEUE_CAPACITY);
        }
    }

    @Test
    public void offerIsRejectedWhileTheQueueIsFull() {
        try (ControlLoop loop = newLoop()) {
            for (int i = 0; i < QUEUE_CAPACITY; i++) {
                assertTrue(loop.offer(new DrainRequested(Clock.SYSTEM.millis())));
            }
            assertFalse(loop.offer(new DrainRequested(Clock.SYSTEM.millis())));
            assertEquals(loop.rejectedEventCount(), 1);
        }
    }
}
