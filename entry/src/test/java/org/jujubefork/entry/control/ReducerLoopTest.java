package org.jujubefork.entry.control;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/**
 * Guards against a control loop that falls behind because it runs a slow tick after each event, and
 * against one that ends because its observer fails.
 */
public final class ReducerLoopTest {
    private static final int EVENT_COUNT = 2_000;
    private static final long SLOW_TICK_MILLIS = 20;
    private static final String TICK = "tick";

    @Test
    public void slowTicksDoNotDelayEvents() throws InterruptedException {
        AtomicInteger tickCount = new AtomicInteger();
        CountDownLatch allEventsApplied = new CountDownLatch(EVENT_COUNT);
        ReducerLoop<Integer, String, String> loop =
                ReducerLoop.of(
                        new ReducerLoop.Setup<>(
                                0,
                                (state, event) -> {
                                    if (event.equals(TICK)) {
                                        tickCount.incrementAndGet();
                                        pause(SLOW_TICK_MILLIS);
                                    } else {
                                        allEventsApplied.countDown();
                                    }
                                    return new ReducerLoop.ReducerResult<>(state + 1, List.of());
                                },
                                now -> TICK,
                                100,
                                state -> 0,
                                Clock.SYSTEM,
                                EVENT_COUNT));
        loop.start(effect -> {});
        try (loop) {
            for (int i = 0; i < EVENT_COUNT; i++) {
                loop.post("event");
            }
            assertTrue(
                    allEventsApplied.await(10, TimeUnit.SECONDS),
                    allEventsApplied.getCount() + " events wait");
            assertTrue(
                    tickCount.get() <= EVENT_COUNT / 100,
                    tickCount.get() + " ticks for " + EVENT_COUNT);
        }
    }

    @Test
    public void failingObserverDoesNotStopTheLoop() throws InterruptedException {
        int tickCount = 3;
        CountDownLatch ticks = new CountDownLatch(tickCount);
        ReducerLoop<Integer, String, String> loop =
                ReducerLoop.of(
                        new ReducerLoop.Setup<>(
                                0,
                                (state, event) ->
                                        new ReducerLoop.ReducerResult<>(state + 1, List.of()),
                                now -> TICK,
                                10,
                                state -> Long.MAX_VALUE,
                                Clock.SYSTEM,
                                EVENT_COUNT));
        loop.start(
                effect -> {},
                (endedAt, durationMillis, queuedEvents) -> {
                    ticks.countDown();
                    throw new IllegalStateException("planted");
                });
        try (loop) {
            assertTrue(ticks.await(10, TimeUnit.SECONDS), "no tick after the error");
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
