package org.jujubefork.entry.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.core.event.Event;
import org.jujubefork.core.event.JobEvent;
import org.jujubefork.core.event.MembershipEvent;
import org.jujubefork.core.event.StoreEvent;
import org.jujubefork.core.model.JobId;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.telemetry.DaemonMetrics;
import org.pcollections.TreePVector;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against deletions that are missed because the store has trimmed its history, and against
 * reporting a store failure when the watcher is closed.
 */
public final class StoreWatcherTest {
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final CountDownLatch watchCalled = new CountDownLatch(1);
    private volatile String rangeResponse = "";
    private volatile boolean isHistoryTrimmed;
    private HttpServer store;
    private Transport transport;

    @BeforeMethod
    public void start() throws IOException {
        events.clear();
        isHistoryTrimmed = false;
        store = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        store.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        store.createContext("/v1/range", e -> send(e, 200, rangeResponse));
        store.createContext("/v1/watch", this::answerWatch);
        store.start();
        transport = Transport.create(Duration.ofSeconds(1));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        transport.close();
        store.stop(0);
    }

    private void answerWatch(HttpExchange exchange) throws IOException {
        watchCalled.countDown();
        boolean isInitialRevision = exchange.getRequestURI().getQuery().contains("after=5");
        try {
            for (int i = 0; i < 100 && !(isInitialRevision && isHistoryTrimmed); i++) {
                Thread.sleep(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (isInitialRevision && isHistoryTrimmed) {
            send(exchange, 410, "{\"revision\": 9}");
        } else {
            send(
                    exchange,
                    200,
                    "{\"revision\": " + (isInitialRevision ? 5 : 9) + ", \"changes\": []}");
        }
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static String itemJson(String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        return "{\"key\": \"" + key + "\", \"revision\": 1, \"value\": \"" + encoded + "\"}";
    }

    private static String rangeJson(long revision, List<String> items) {
        return "{\"revision\": " + revision + ", \"items\": [" + String.join(",", items) + "]}";
    }

    private StoreWatcher startWatcher() {
        return StoreWatcher.start(
                new StoreClient(transport, Address.of("127.0.0.1", store.getAddress().getPort())),
                null,
                Clock.SYSTEM,
                events::add,
                new Random(7),
                DaemonMetrics.create());
    }

    private <E extends Event> E nextEvent(Class<E> type) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (true) {
            Event event = events.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
            assertNotNull(event, "no " + type.getSimpleName());
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    @Test
    public void deletionsInTrimmedHistoryAreReported() throws InterruptedException {
        rangeResponse =
                rangeJson(
                        5,
                        List.of(
                                itemJson(StoreKeys.ENTRIES + "e1", "127.0.0.1:1"),
                                itemJson(StoreKeys.ENTRIES + "e2", "127.0.0.1:2"),
                                // The deletion of a malformed record must be reported, too.
                                itemJson(StoreKeys.JOBS + "j1", "{}")));
        try (StoreWatcher watcher = startWatcher()) {
            assertEquals(
                    nextEvent(MembershipEvent.PeersDiscovered.class).peerAddresses().size(), 2);
            nextEvent(StoreEvent.StoreContacted.class);
            rangeResponse =
                    rangeJson(9, List.of(itemJson(StoreKeys.ENTRIES + "e1", "127.0.0.1:1")));
            isHistoryTrimmed = true;
            assertEquals(
                    nextEvent(JobEvent.JobRecordsChanged.class).removed(),
                    TreePVector.singleton(JobId.of("j1")));
            assertEquals(
                    nextEvent(MembershipEvent.PeersDiscovered.class).peerAddresses().size(), 1);
        }
    }

    @Test
    public void closingIsNotReportedAsAStoreFailure() throws InterruptedException {
        rangeResponse = rangeJson(5, List.of());
        try (StoreWatcher watcher = startWatcher()) {
            assertEquals(watchCalled.await(5, TimeUnit.SECONDS), true);
        }
        assertFalse(events.stream().anyMatch(StoreEvent.StoreFailed.class::isInstance));
    }
}
