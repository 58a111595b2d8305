package org.jujubefork.standins.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.store.Change;
import org.jujubefork.client.store.KeyValue;
import org.jujubefork.client.store.RangeResult;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.client.store.StoreLease;
import org.jujubefork.client.store.WatchResult;
import org.jujubefork.client.store.WriteResult;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryRecorder;
import org.jujubefork.standins.store.KeyValueStore;
import org.jujubefork.standins.store.StoreOptions;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against lost updates, missed changes and keys that outlive their lease. */
public final class StoreClientTest {
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final OptionalLong ANY = OptionalLong.empty();
    private static final OptionalLong ABSENT = OptionalLong.of(StoreClient.ABSENT);

    private HistoryRecorder history;
    private Transport transport;
    private KeyValueStore server;
    private StoreClient store;

    @BeforeMethod
    public void open() throws Exception {
        history = new HistoryRecorder();
        transport = Transport.create(Duration.ofSeconds(10));
        server = KeyValueStore.start(new StoreOptions(0, 0, 0, 4), history);
        store = new StoreClient(transport, Address.of("127.0.0.1", server.port()));
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        transport.close();
        server.close();
    }

    @Test
    public void writesAreConditional() throws Exception {
        assertEquals(put("a/b", "1", ABSENT), new WriteResult.Written(1));
        assertEquals(put("a/b", "2", ABSENT), new WriteResult.Conflict(1));
        assertEquals(put("a/b", "2", OptionalLong.of(1)), new WriteResult.Written(2));
        assertEquals(put("a/b", "3", OptionalLong.of(1)), new WriteResult.Conflict(2));
        assertEquals(put("a/b", "4", ANY), new WriteResult.Written(3));
        assertEquals(store.delete("a/b", OptionalLong.of(2), LONG), new WriteResult.Conflict(3));
        assertEquals(store.delete("a/b", OptionalLong.of(3), LONG), new WriteResult.Written(4));
        assertEquals(store.delete("a/b", OptionalLong.of(3), LONG), new WriteResult.Conflict(0));
        assertTrue(store.delete("a/b", ANY, LONG) instanceof WriteResult.NotApplied);
        assertTrue(store.get("a/b", LONG).isEmpty());
        assertEquals(
                history.events().stream().map(e -> e.type()).toList(),
                List.of(
                        EventType.STORE_WRITE,
                        EventType.STORE_WRITE,
                        EventType.STORE_WRITE,
                        EventType.STORE_DELETE));
    }

    @Test
    public void concurrentCreatesHaveOneWinner() throws Exception {
        List<CompletableFuture<WriteResult>> calls =
                IntStream.range(0, 16)
                        .mapToObj(
                                i ->
                                        CompletableFuture.supplyAsync(
                                                () -> put("claims/team/k", "n" + i, ABSENT)))
                        .toList();
        long written =
                calls.stream()
                        .map(CompletableFuture::join)
                        .filter(r -> r instanceof WriteResult.Written)
                        .count();
        assertEquals(written, 1);
    }

    @Test
    public void keysAndValuesKeepTheirBytes() throws Exception {
        byte[] value = new byte[StoreClient.MAX_VALUE_BYTES];
        fill(value, 7);
        for (String key : List.of("x", "a/b/c", "a%2Fb", "a b+c", "ü/ß#?&=", "a.b/..c")) {
            WriteResult result = store.put(key, value, ABSENT, Optional.empty(), LONG);
            assertTrue(result instanceof WriteResult.Written, key + ": " + result);
            KeyValue read = store.get(key, LONG).orElseThrow();
            assertEquals(read.value(), value, key);
            RangeResult range = store.range(key, LONG);
            assertEquals(range.items().get(0).key(), key);
        }
        assertTrue(store.get("a/b", LONG).isEmpty(), "another key was reached");
    }

    private static void fill(byte[] bytes, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        random.nextBytes(bytes);
    }

    @Test
    public void unusableKeysAndValuesAreRefused() {
        for (String key : List.of("", "/a", "a//b", "a/../b", "./a", "x".repeat(513))) {
            assertThrows(IllegalArgumentException.class, () -> store.get(key, LONG));
        }
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        store.put(
                                "a",
                                new byte[StoreClient.MAX_VALUE_BYTES + 1],
                                ANY,
                                Optional.empty(),
                                LONG));
    }

    @Test
    public void rangeHasTheKeysOfAPrefixInOrder() throws Exception {
        for (String key : List.of("b/2", "a/1", "b/1", "c", "b")) {
            put(key, key, ABSENT);
        }
        RangeResult range = store.range("b/", LONG);
        assertEquals(range.revision(), 5);
        assertEquals(range.items().stream().map(KeyValue::key).toList(), List.of("b/1", "b/2"));
        assertEquals(range.items().stream().map(KeyValue::revision).toList(), List.of(3L, 1L));
        assertEquals(text(range.items().get(0).value()), "b/1");
    }

    @Test
    public void watchReturnsAllChangesAfterARevision() throws Exception {
        put("p/a", "1", ABSENT);
        put("q", "1", ABSENT);
        store.delete("p/a", ANY, LONG);
        WatchResult.Changes changes = (WatchResult.Changes) store.watch("p/", 0, LONG);
        assertEquals(changes.revision(), 3);
        assertEquals(changes.changes().stream().map(Change::revision).toList(), List.of(1L, 3L));
        assertFalse(changes.changes().get(0).isDeletion());
        assertTrue(changes.changes().get(1).isDeletion());
        WatchResult.Changes none =
                (WatchResult.Changes) store.watch("p/", 3, Duration.ofMillis(50));
        assertEquals(none.changes(), List.of());
        assertEquals(none.revision(), 3);
    }

    @Test
    public void watchWaitsForAChange() throws Exception {
        CompletableFuture<WatchResult> watch =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return store.watch("p/", 0, LONG);
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
        Await.until("watch arrives", () -> server.counters().getOrDefault("watch", 0L) == 1);
        put("q", "1", ABSENT);
        put("p/a", "1", ABSENT);
        WatchResult.Changes changes = (WatchResult.Changes) watch.join();
        assertEquals(changes.changes().stream().map(Change::key).toList(), List.of("p/a"));
        assertEquals(changes.revision(), 2);
    }

    /** The history keeps four changes; a watcher that fell behind must not miss any silently. */
    @Test
    public void watchBehindTheHistoryIsTold() throws Exception {
        for (int i = 0; i < 6; i++) {
            put("k", "v" + i, ANY);
        }
        assertEquals(store.watch("k", 1, LONG), new WatchResult.Trimmed(6));
        assertEquals(((WatchResult.Changes) store.watch("k", 2, LONG)).changes().size(), 4);
        // A revision from before a loss of the store's data.
        assertEquals(store.watch("k", 99, LONG), new WatchResult.Trimmed(6));
    }

    @Test
    public void keysVanishWithTheirLease() throws Exception {
        StoreLease lease = store.grantLease(Duration.ofMillis(400), LONG);
        WriteResult written = store.put("e/1", bytes("x"), ABSENT, Optional.of(lease), LONG);
        assertTrue(written instanceof WriteResult.Written, written.toString());
        WatchResult.Changes changes = (WatchResult.Changes) store.watch("e/", 1, LONG);
        assertTrue(changes.changes().get(0).isDeletion());
        assertTrue(store.get("e/1", LONG).isEmpty());
        assertFalse(store.keepAlive(lease, LONG));
        WriteResult late = store.put("e/1", bytes("x"), ANY, Optional.of(lease), LONG);
        assertTrue(late instanceof WriteResult.NotApplied, late.toString());
    }

    @Test
    public void keepAliveHoldsALease() throws Exception {
        StoreLease lease = store.grantLease(Duration.ofMinutes(10), LONG);
        assertTrue(store.keepAlive(lease, LONG));
        assertFalse(store.keepAlive(new StoreLease("no/such", Duration.ofMinutes(1)), LONG));
    }

    private WriteResult put(String key, String value, OptionalLong ifRevision) {
        return store.put(key, bytes(value), ifRevision, Optional.empty(), LONG);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
