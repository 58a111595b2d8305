package rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rig.Http.Answer;
import rig.Http.Request;

/**
 * The platform's store as PROTOCOL.md describes it: 4 ms an answer, pages of 500 items or 1 MB, 20 s of history, 1,000
 * Mbit/s. Machines of other regions reach it at an address of their own, whose calls take 12 ms each way.
 */
public final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int MAX_ENTRIES = 32;
    private static final int MAX_VALUE_BYTES = 1_048_576;
    private static final long HISTORY_MILLIS = 20_000;
    private static final long ANSWER_MILLIS = 4;

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Change(long at, String key, long revision, Item item) {}

    private static final long REGION_MILLIS = 12;
    private static final long BYTES_PER_MILLI = 125_000;

    private final Http server;
    private final Http farServer;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private long revision = 100;
    private long forgotten = 0;
    private long nextLease = 1_000;
    private volatile boolean down;
    private volatile long answerMillis = ANSWER_MILLIS;

    public Store() throws IOException {
        server = new Http(0, request -> handle(request, 0));
        farServer = new Http(0, request -> handle(request, REGION_MILLIS));
    }

    /** Returns the address for machines of other regions. */
    public String farAddress() {
        return farServer.address();
    }

    public String address() {
        return server.address();
    }

    /** While it is down, the store does nothing and answers each call with 503. */
    public void setDown(boolean isDown) {
        synchronized (this) {
            down = isDown;
            notifyAll();
        }
    }

    public boolean isDown() {
        return down;
    }

    /** Sets how long each answer takes. */
    public void setAnswerMillis(long millis) {
        answerMillis = millis;
    }

    /** Writes as the operator or a worker does; returns false while the store is down. */
    public synchronized boolean put(String key, String value) {
        if (down) {
            return false;
        }
        revision++;
        set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return true;
    }

    /** Removes a key as the platform does. */
    public synchronized boolean remove(String key) {
        if (down) {
            return false;
        }
        revision++;
        delete(key);
        notifyAll();
        return true;
    }

    /** Returns the bytes of a key, or null. */
    public synchronized byte[] get(String key) {
        Item item = items.get(key);
        return item == null ? null : Base64.getDecoder().decode(item.value());
    }

    private void set(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
        items.put(key, item);
        changes.add(new Change(System.nanoTime(), key, revision, item));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            changes.add(new Change(System.nanoTime(), key, revision, null));
        }
    }

    private void expire() {
        long now = System.nanoTime();
        for (long lease : List.copyOf(leaseEnds.keySet())) {
            if (leaseEnds.get(lease) < now) {
                leaseEnds.remove(lease);
                List<String> keys = items.values().stream().filter(i -> i.lease() == lease).map(Item::key).toList();
                if (!keys.isEmpty()) {
                    revision++;
                    keys.forEach(this::delete);
                }
            }
        }
        int old = 0;
        while (old < changes.size() && now - changes.get(old).at() > HISTORY_MILLIS * 1_000_000) {
            forgotten = changes.get(old).revision();
            old++;
        }
        if (old > 0) {
            changes.subList(0, old).clear();
        }
    }

    private Answer handle(Request request, long oneWayMillis) throws InterruptedException {
        Thread.sleep(oneWayMillis);
        Answer answer = handle(request);
        long bytes = 0;
        for (JsonNode item : answer.body().path("items")) {
            bytes += item.path("value").asText().length();
        }
        Thread.sleep(oneWayMillis + bytes / BYTES_PER_MILLI);
        return answer;
    }

    private Answer handle(Request request) throws InterruptedException {
        Thread.sleep(answerMillis);
        if (down) {
            return Answer.of(503);
        }
        if (request.path().equals("/api/kv-watch")) {
            return watch(request);
        }
        synchronized (this) {
            expire();
            Answer answer = call(request);
            answer.body().put("store_revision", revision);
            notifyAll();
            return answer;
        }
    }

    private Answer call(Request request) {
        String path = request.path();
        if (path.equals("/api/kv-key")) {
            Item item = items.get(request.query().get("key"));
            return item == null ? Answer.of(404) : new Answer(200, json(item));
        }
        if (path.equals("/api/kv-range")) {
            return range(request.query());
        }
        if (path.equals("/api/kv-txn")) {
            return transaction(request.body());
        }
        if (path.equals("/api/kv-lease")) {
            long lease = nextLease++;
            long ttl = Math.max(1_000, request.body().path("ttl_ms").asLong());
            leaseTtls.put(lease, ttl);
            leaseEnds.put(lease, System.nanoTime() + ttl * 1_000_000);
            Answer answer = Answer.of(200);
            answer.body().put("lease", lease).put("ttl_ms", ttl);
            return answer;
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (!leaseEnds.containsKey(lease)) {
            return Answer.of(404);
        }
        leaseEnds.put(lease, System.nanoTime() + leaseTtls.get(lease) * 1_000_000);
        return Answer.of(200);
    }

    private static ObjectNode json(Item item) {
        return Http.MAPPER
                .createObjectNode()
                .put("key", item.key())
                .put("value", item.value())
                .put("rev", item.revision())
                .put("create_rev", item.created())
                .put("lease", item.lease());
    }

    private Answer range(Map<String, String> query) {
        String prefix = query.get("prefix");
        String after = query.getOrDefault("after", "");
        Answer answer = Answer.of(200);
        ArrayNode page = answer.body().putArray("items");
        boolean more = false;
        long bytes = 0;
        for (Item item : items.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (item.key().compareTo(after) > 0) {
                more = page.size() == PAGE_ITEMS || (bytes > 0 && bytes + item.value().length() > PAGE_BYTES);
                if (more) {
                    break;
                }
                bytes += item.value().length();
                page.add(json(item));
            }
        }
        answer.body().put("has_more", more);
        return answer;
    }

    private Answer transaction(JsonNode body) {
        int entries = body.path("expected_rev").size() + body.path("puts").size() + body.path("remove").size();
        if (entries > MAX_ENTRIES) {
            return Answer.of(400);
        }
        boolean holds = true;
        Answer conflict = Answer.of(412);
        ArrayNode current = conflict.body().putArray("items");
        for (JsonNode condition : body.path("expected_rev")) {
            Item item = items.get(condition.path("key").asText());
            holds &= (item == null ? 0 : item.revision()) == condition.path("rev").asLong();
            current.add(
                    item == null
                            ? Http.MAPPER.createObjectNode().put("key", condition.path("key").asText()).put("rev", 0)
                            : json(item));
        }
        for (JsonNode put : body.path("puts")) {
            if (put.path("value").asText().length() / 4 * 3 > MAX_VALUE_BYTES) {
                return Answer.of(400);
            }
            if (put.path("lease").asLong() != 0 && !leaseEnds.containsKey(put.path("lease").asLong())) {
                return Answer.of(404);
            }
        }
        if (!holds) {
            return conflict;
        }
        revision++;
        for (JsonNode put : body.path("puts")) {
            set(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
        }
        for (JsonNode key : body.path("remove")) {
            delete(key.asText());
        }
        Answer answer = Answer.of(200);
        answer.body().put("rev", revision);
        return answer;
    }

    private synchronized Answer watch(Request request) throws InterruptedException {
        String prefix = request.query().get("prefix");
        long after = Long.parseLong(request.query().get("after"));
        long deadline = System.nanoTime() + Long.parseLong(request.query().get("wait_ms")) * 1_000_000;
        expire();
        if (after < forgotten) {
            return Answer.of(410);
        }
        Answer answer = Answer.of(200);
        ArrayNode events = answer.body().putArray("events");
        while (!down) {
            expire();
            for (Change change : changes) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.add(
                            change.item() == null
                                    ? Http.MAPPER
                                            .createObjectNode()
                                            .put("key", change.key())
                                            .put("rev", change.revision())
                                            .put("deleted", true)
                                    : json(change.item()));
                }
            }
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                break;
            }
            wait(Math.min(left, 50));
        }
        answer.body().put("store_revision", revision);
        return down ? Answer.of(503) : answer;
    }

    @Override
    public void close() {
        server.close();
        farServer.close();
    }
}
