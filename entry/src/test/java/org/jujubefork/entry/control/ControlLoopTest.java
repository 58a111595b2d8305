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

/** Guards against a control thread that stops, or a queue that grows without bound. */
public final class ControlLoopTest {
    private static final long SEED = Long.getLong("jujubefork.seed", 7);
    private static final long WAIT_MILLIS = 5_000;
    private static final int CAPACITY = 4;

    private static ControlLoop loop() {
        EntryIdentity self =
                new EntryIdentity(
                        EntryId.of("e1", 1),
                        Location.of("r", "z", ""),
                        "127.0.0.1:1",
                        "127.0.0.1:2");
        State initial = State.initial(self, Timing.DEFAULT, Clock.SYSTEM.millis());
        return ControlLoop.of(initial, Clock.SYSTEM, new Random(SEED), CAPACITY);
    }

    private static void awaitTime(ControlLoop loop, long millis) throws InterruptedException {
        long deadline = Clock.SYSTEM.millis() + WAIT_MILLIS;
        while (loop.state().nowMillis() < millis) {
            assertTrue(Clock.SYSTEM.millis() < deadline, "no tick reached " + millis);
            Thread.sleep(5);
        }
    }

    @Test
    public void anEventThatCannotBeReducedDoesNotStopTheLoop() throws InterruptedException {
        try (ControlLoop loop = loop()) {
            loop.start(effect -> {});
            loop.post(new MembershipEvent.PeersDiscovered(Clock.SYSTEM.millis(), null));
            loop.post(new DrainRequested(Clock.SYSTEM.millis()));
            awaitTime(loop, Clock.SYSTEM.millis() + 2 * ControlLoop.TICK_INTERVAL_MILLIS);
            assertTrue(loop.state().draining());
        }
    }

    @Test
    public void anExecutorThatFailsDoesNotKeepOtherEffectsBack() throws InterruptedException {
        AtomicInteger effects = new AtomicInteger();
        CountDownLatch several = new CountDownLatch(4);
        try (ControlLoop loop = loop()) {
            loop.start(
                    effect -> {
                        effects.incrementAndGet();
                        several.countDown();
                        throw new IllegalStateException("no effect works");
                    });
            loop.post(
                    new MembershipEvent.PeersDiscovered(
                            Clock.SYSTEM.millis(),
                            TreePVector.<String>empty().plus("127.0.0.1:3").plus("127.0.0.1:4")));
            assertTrue(several.await(WAIT_MILLIS, TimeUnit.MILLISECONDS), effects + " effects");
            awaitTime(loop, Clock.SYSTEM.millis() + ControlLoop.TICK_INTERVAL_MILLIS);
        }
    }

    @Test
    public void aFullQueueHoldsThePosterBack() throws InterruptedException {
        try (ControlLoop loop = loop()) {
            AtomicInteger posted = new AtomicInteger();
            Thread poster =
                    Thread.startVirtualThread(
                            () -> {
                                for (int i = 0; i < 2 * CAPACITY; i++) {
                                    loop.post(new DrainRequested(Clock.SYSTEM.millis()));
                                    posted.incrementAndGet();
                                }
                            });
            poster.join(java.time.Duration.ofMillis(200));
            assertEquals(posted.get(), CAPACITY);
            assertEquals(loop.backlog(), CAPACITY);
            loop.start(effect -> {});
            assertTrue(poster.join(java.time.Duration.ofMillis(WAIT_MILLIS)));
            assertEquals(posted.get(), 2 * CAPACITY);
        }
    }

    @Test
    public void aFullQueueDoesNotHoldBackAThreadThatMustNotWait() {
        try (ControlLoop loop = loop()) {
            for (int i = 0; i < CAPACITY; i++) {
                assertTrue(loop.offer(new DrainRequested(Clock.SYSTEM.millis())));
            }
            assertFalse(loop.offer(new DrainRequested(Clock.SYSTEM.millis())));
            assertEquals(loop.refusedEventCount(), 1);
        }
    }
}
