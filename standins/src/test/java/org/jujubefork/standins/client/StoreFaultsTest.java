package org.jujubefork.standins.client;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.client.store.StoreException;
import org.jujubefork.client.store.WriteResult;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.history.HistorySink;
import org.jujubefork.standins.store.KeyValueStore;
import org.jujubefork.standins.store.StoreOptions;
import org.testng.Assert.ThrowingRunnable;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a write whose outcome is reported as known although it is not. */
public final class StoreFaultsTest {
    private static final Duration LONG = Duration.ofSeconds(30);

    private Transport transport;
    private KeyValueStore server;
    private StoreClient store;

    @BeforeMethod
    public void open() throws Exception {
        transport = Transport.create(Duration.ofSeconds(10));
        server = KeyValueStore.start(StoreOptions.unlimited(), HistorySink.NONE);
        store = new StoreClient(transport, Address.of("127.0.0.1", server.port()));
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        transport.close();
        server.close();
    }

    @Test
    public void outageMakesWritesUnknownAndReadsFail() throws Exception {
        server.outage(true);
        assertTrue(put("a") instanceof WriteResult.Unknown);
        assertKind(StoreException.Kind.FAILED, () -> store.get("a", LONG));
        assertKind(StoreException.Kind.FAILED, () -> store.range("a", LONG));
        server.outage(false);
        assertTrue(store.get("a", LONG).isEmpty(), "a write during the outage took effect");
        assertTrue(put("a") instanceof WriteResult.Written);
    }

    @Test
    public void outageEndsWaitingWatches() throws Exception {
        CompletableFuture<Void> watch =
                CompletableFuture.runAsync(
                        () -> assertThrows(StoreException.class, () -> store.watch("", 0, LONG)));
        Await.until("watch arrives", () -> server.counters().getOrDefault("watch", 0L) == 1);
        server.outage(true);
        watch.join();
    }

    @Test
    public void stoppedStoreIsNotSent() {
        server.close();
        WriteResult result = put("a");
        assertTrue(result instanceof WriteResult.NotApplied, result.toString());
        assertKind(StoreException.Kind.NOT_CONNECTED, () -> store.get("a", LONG));
    }

    @Test
    public void lostAnswerIsUnknownAndTheWriteTookEffect() throws Exception {
        server.loseAnswers(1);
        assertTrue(put("a") instanceof WriteResult.Unknown);
        assertTrue(store.get("a", LONG).isPresent());
        assertTrue(put("b") instanceof WriteResult.Written);
        assertEquals(server.counters().get("lostAnswers"), Long.valueOf(1));
    }

    @Test
    public void nonsenseIsUnknownOrMalformed() throws Exception {
        server.nonsense(4);
        assertTrue(put("a") instanceof WriteResult.Unknown);
        assertKind(StoreException.Kind.MALFORMED, () -> store.range("a", LONG));
        assertKind(StoreException.Kind.MALFORMED, () -> store.watch("a", 0, LONG));
        assertKind(StoreException.Kind.MALFORMED, () -> store.get("a", LONG));
        assertTrue(store.get("a", LONG).isEmpty());
    }

    @Test
    public void slowStoreTimesOut() throws Exception {
        server.slowMillis(60_000);
        Duration brief = Duration.ofMillis(300);
        WriteResult write =
                store.put("a", new byte[1], OptionalLong.empty(), Optional.empty(), brief);
        assertTrue(write instanceof WriteResult.Unknown, write.toString());
        assertKind(StoreException.Kind.TIMEOUT, () -> store.get("a", brief));
    }

    /** The buckets hold two calls and refill too slowly for this test to see it. */
    @Test
    public void ratesAreEnforcedForReadsAndWritesApart() throws Exception {
        try (KeyValueStore limited =
                KeyValueStore.start(new StoreOptions(0, 2, 1, 10), HistorySink.NONE)) {
            StoreClient client = new StoreClient(transport, address(limited));
            int throttled = 0;
            // A burst of 200 writes takes far less than the 99 s that the rate would need.
            for (int i = 0; i < 200; i++) {
                WriteResult result =
                        client.put("k", new byte[0], OptionalLong.empty(), Optional.empty(), LONG);
                throttled += result instanceof WriteResult.Throttled ? 1 : 0;
            }
            assertTrue(throttled > 0, "no write was throttled");
            assertTrue(throttled <= 198, "the burst was not served");
            assertEquals(client.get("k", LONG).orElseThrow().value().length, 0);
            assertEquals(limited.counters().get("throttled"), Long.valueOf(throttled));
        }
    }

    @Test
    public void throttledReadsSaySo() throws Exception {
        try (KeyValueStore limited =
                KeyValueStore.start(new StoreOptions(0, 0, 1, 10), HistorySink.NONE)) {
            StoreClient client = new StoreClient(transport, address(limited));
            StoreException refused =
                    expectThrows(
                            StoreException.class,
                            () -> {
                                for (int i = 0; i < 1000; i++) {
                                    client.range("", LONG);
                                }
                            });
            assertEquals(refused.kind(), StoreException.Kind.THROTTLED);
        }
    }

    @Test
    public void controlEndpointsSwitchFaults() throws Exception {
        assertEquals(control("/control/outage?on=true").status(), 200);
        assertTrue(put("a") instanceof WriteResult.Unknown);
        control("/control/outage?on=false");
        control("/control/lose-answers?count=1");
        assertTrue(put("a") instanceof WriteResult.Unknown);
        control("/control/nonsense?count=1");
        assertTrue(put("b") instanceof WriteResult.Unknown);
        control("/control/slow?millis=1");
        assertTrue(put("c") instanceof WriteResult.Written);
        assertTrue(new String(control("/control/counters").body(), UTF_8).contains("\"put\":4"));
        assertEquals(control("/control/slow?millis=x").status(), 400);
        assertEquals(control("/control/other").status(), 404);
    }

    @Test
    public void valueAboveTheLimitIsRefused() throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri("/v1/kv/a"))
                        .PUT(BodyPublishers.ofByteArray(new byte[1024 * 1024 + 1]));
        assertEquals(((CallResult.Response) transport.call(request, LONG)).status(), 413);
        assertTrue(store.get("a", LONG).isEmpty());
    }

    private CallResult.Response control(String path) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri(path)).POST(BodyPublishers.noBody());
        return (CallResult.Response) transport.call(request, LONG);
    }

    private URI uri(String path) {
        return address(server).uri(path);
    }

    private static Address address(KeyValueStore store) {
        return Address.of("127.0.0.1", store.port());
    }

    private WriteResult put(String key) {
        return store.put(key, new byte[1], OptionalLong.empty(), Optional.empty(), LONG);
    }

    private static void assertKind(StoreException.Kind kind, ThrowingRunnable call) {
        assertEquals(expectThrows(StoreException.class, call).kind(), kind);
    }
}
