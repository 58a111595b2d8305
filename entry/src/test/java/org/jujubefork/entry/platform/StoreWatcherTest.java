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

/** Guards against deletions that are never reported and against failures that did not happen. */
public final class StoreWatcherTest {
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final CountDownLatch watched = new CountDownLatch(1);
    private volatile String range = "";
    private volatile boolean trim;
    private HttpServer store;
    private Transport transport;

    @BeforeMethod
    public void start() throws IOException {
        events.clear();
        trim = false;
        store = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        store.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        store.createContext("/v1/range", e -> send(e, 200, range));
        store.createContext("/v1/watch", this::watch);
        store.start();
        transport = Transport.create(Duration.ofSeconds(1));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        transport.close();
        store.stop(0);
    }

    private void watch(HttpExchange exchange) throws IOException {
        watched.countDown();
        boolean first = exchange.getRequestURI().getQuery().contains("after=5");
        try {
            for (int i = 0; i < 100 && !(first && trim); i++) {
                Thread.sleep(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (first && trim) {
            send(exchange, 410, "{\"revision\": 9}");
        } else {
            send(exchange, 200, "{\"revision\": " + (first ? 5 : 9) + ", \"changes\": []}");
        }
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static String item(String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        return "{\"key\": \"" + key + "\", \"revision\": 1, \"value\": \"" + encoded + "\"}";
    }

    private static String items(long revision, List<String> items) {
        return "{\"revision\": " + revision + ", \"items\": [" + String.join(",", items) + "]}";
    }

    private StoreWatcher watcher() {
        return StoreWatcher.start(
                new StoreClient(transport, Address.of("127.0.0.1", store.getAddress().getPort())),
                null,
                Clock.SYSTEM,
                events::add,
                new Random(7),
                DaemonMetrics.create());
    }

    private <E extends Event> E next(Class<E> type) throws InterruptedException {
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
    public void deletionsThatTheStoreHasForgottenAreReported() throws InterruptedException {
        range =
                items(
                        5,
                        List.of(
                                item(StoreKeys.ENTRIES + "e1", "127.0.0.1:1"),
                                item(StoreKeys.ENTRIES + "e2", "127.0.0.1:2"),
                                // A record that cannot be read is a record all the same.
                                item(StoreKeys.JOBS + "j1", "{}")));
        try (StoreWatcher watcher = watcher()) {
            assertEquals(next(MembershipEvent.PeersDiscovered.class).peerAddresses().size(), 2);
            next(StoreEvent.StoreContacted.class);
            range = items(9, List.of(item(StoreKeys.ENTRIES + "e1", "127.0.0.1:1")));
            trim = true;
            assertEquals(
                    next(JobEvent.JobRecordsChanged.class).removed(),
                    TreePVector.singleton(JobId.of("j1")));
            assertEquals(next(MembershipEvent.PeersDiscovered.class).peerAddresses().size(), 1);
        }
    }

    @Test
    public void aStopIsNotAFailureOfTheStore() throws InterruptedException {
        range = items(5, List.of());
        try (StoreWatcher watcher = watcher()) {
            assertEquals(watched.await(5, TimeUnit.SECONDS), true);
        }
        assertFalse(events.stream().anyMatch(StoreEvent.StoreFailed.class::isInstance));
    }
}
