package org.jujubefork.entry.control;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Guards against a control thread that runs one slow tick for each event and falls behind. */
public final class ReducerLoopTest {
    private static final int EVENTS = 2_000;
    private static final long SLOW_TICK_MILLIS = 20;
    private static final String TICK = "tick";

    @Test
    public void slowTicksDoNotHoldUpEvents() throws InterruptedException {
        AtomicInteger ticks = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(EVENTS);
        ReducerLoop<Integer, String, String> loop =
                ReducerLoop.of(
                        new ReducerLoop.Setup<>(
                                0,
                                (state, event) -> {
                                    if (event.equals(TICK)) {
                                        ticks.incrementAndGet();
                                        pause(SLOW_TICK_MILLIS);
                                    } else {
                                        done.countDown();
                                    }
                                    return new ReducerLoop.ReducerResult<>(state + 1, List.of());
                                },
                                now -> TICK,
                                100,
                                state -> 0,
                                Clock.SYSTEM,
                                EVENTS));
        loop.start(effect -> {});
        try (loop) {
            for (int i = 0; i < EVENTS; i++) {
                loop.post("event");
            }
            assertTrue(done.await(10, TimeUnit.SECONDS), done.getCount() + " events wait");
            assertTrue(ticks.get() <= EVENTS / 100, ticks.get() + " ticks for " + EVENTS);
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
