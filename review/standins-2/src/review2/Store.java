package review2;

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
import review2.Server.Answer;
import review2.Server.Request;

/** The platform's store. Each answer takes 4 ms. */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final int MOST_ENTRIES = 32;
    private static final long ANSWER_MILLIS = 4;

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Change(String key, long revision, Item item) {}

    private final Server server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private long revision = 1;
    private long nextLease = 100;

    /** Milliseconds that each answer takes. */
    volatile long answerMillis = ANSWER_MILLIS;

    /** Whether all calls are turned away with 503. */
    volatile boolean down;

    Store() throws IOException {
        server = new Server(0, this::handle);
    }

    String address() {
        return Cell.HOST + ":" + server.port;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Writes as the operator or a worker does. */
    synchronized void put(String key, String value) {
        set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void remove(String key) {
        delete(key);
        notifyAll();
    }

    /** Returns the value of a key as text, "" if it is missing. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.ISO_8859_1);
    }

    private void set(String key, String value, long lease) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
        items.put(key, item);
        changes.add(new Change(key, revision, item));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            changes.add(new Change(key, revision, null));
        }
    }

    private void expire() {
        for (long lease : List.copyOf(leaseEnds.keySet())) {
            if (leaseEnds.get(lease) < now()) {
                leaseEnds.remove(lease);
                items.values().stream()
                        .filter(i -> i.lease() == lease)
                        .map(Item::key)
                        .toList()
                        .forEach(this::delete);
            }
        }
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
            leaseTtls.put(lease, request.body().path("ttl_ms").asLong());
            leaseEnds.put(lease, now() + leaseTtls.get(lease));
            Answer answer = Answer.of(200);
            answer.body().put("lease", lease).put("ttl_ms", leaseTtls.get(lease));
            return answer;
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (!leaseEnds.containsKey(lease)) {
            return Answer.of(404);
        }
        if (request.method().equals("DELETE")) {
            leaseEnds.put(lease, now() - 1);
            expire();
        } else {
            leaseEnds.put(lease, now() + leaseTtls.get(lease));
        }
        return Answer.of(200);
    }

    private static ObjectNode json(Item item) {
        return Server.MAPPER
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
        for (Item item : items.tailMap(prefix).values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                more = page.size() == PAGE_ITEMS;
                if (more) {
                    break;
                }
                page.add(json(item));
            }
        }
        answer.body().put("has_more", more);
        return answer;
    }

    private Answer transaction(JsonNode body) {
        if (body.path("expected_rev").size() + body.path("puts").size() + body.path("remove").size()
                > MOST_ENTRIES) {
            return Answer.of(400);
        }
        boolean holds = true;
        Answer conflict = Answer.of(412);
        ArrayNode current = conflict.body().putArray("items");
        for (JsonNode row : body.path("expected_rev")) {
            Item item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.revision()) == row.path("rev").asLong();
            current.add(
                    item == null
                            ? Server.MAPPER.createObjectNode().put("key", row.path("key").asText())
                            : json(item));
        }
        if (!holds) {
            return conflict;
        }
        for (JsonNode put : body.path("puts")) {
            long lease = put.path("lease").asLong();
            if (lease != 0 && !leaseEnds.containsKey(lease)) {
                return Answer.of(404);
            }
        }
        // All changes of a call have one revision.
        long before = revision;
        for (JsonNode put : body.path("puts")) {
            revision = before;
            set(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
        }
        for (JsonNode key : body.path("remove")) {
            revision = before;
            delete(key.asText());
        }
        revision = before + 1;
        Answer answer = Answer.of(200);
        answer.body().put("rev", revision);
        return answer;
    }

    private synchronized Answer watch(Request request) throws InterruptedException {
        String prefix = request.query().get("prefix");
        long after = Long.parseLong(request.query().get("after"));
        long deadline = now() + Long.parseLong(request.query().get("wait_ms"));
        while (true) {
            expire();
            Answer answer = Answer.of(200);
            ArrayNode events = answer.body().putArray("events");
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).revision() > after; i--) {
                Change change = changes.get(i);
                if (change.key().startsWith(prefix)) {
                    events.insert(
                            0,
                            change.item() != null
                                    ? json(change.item())
                                    : Server.MAPPER
                                            .createObjectNode()
                                            .put("key", change.key())
                                            .put("rev", change.revision())
                                            .put("deleted", true));
                }
            }
            if (!events.isEmpty() || now() >= deadline) {
                answer.body().put("store_revision", revision);
                return answer;
            }
            wait(Math.max(1, Math.min(20, deadline - now())));
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
