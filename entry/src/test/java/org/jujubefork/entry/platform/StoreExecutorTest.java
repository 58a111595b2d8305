package org.jujubefork.entry.platform;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.LimitEvent;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.telemetry.DaemonMetrics;
import org.testng.annotations.Test;

/**
 * Guards against continuous ledger reads while the store is unreachable, which occur if a failed
 * read posts an event and the reducer responds with another read.
 */
public final class StoreExecutorTest {
    /** An address on which no server listens. */
    private static final Address CLOSED_ADDRESS = Address.of("127.0.0.1", 1);

    @Test
    public void failedLedgerReadPostsNoEvent() throws InterruptedException {
        BlockingQueue<Event> events = new LinkedBlockingQueue<>();
        try (Transport transport = Transport.create(Duration.ofSeconds(1))) {
            StoreExecutor executor =
                    new StoreExecutor(
                            new StoreClient(transport, CLOSED_ADDRESS),
                            new RequestRegistry(),
                            () -> 0,
                            events::add,
                            DaemonMetrics.create());
            executor.execute(new StoreEffect.ReadLedger());
            executor.execute(new StoreEffect.WriteLedger(0, Ledger.EMPTY));
            Event firstEvent = events.poll(10, TimeUnit.SECONDS);
            assertEquals(firstEvent, new LimitEvent.LedgerWriteFailed(0, false));
            assertEquals(events.poll(1, TimeUnit.SECONDS), null);
        }
    }
}
