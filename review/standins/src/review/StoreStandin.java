package review;

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
import review.HttpStandin.Answer;
import review.HttpStandin.Request;

/** The platform's metadata store: revisions, watches, conditional writes and leases. */
final class StoreStandin implements AutoCloseable {
    private static final long ANSWER_MILLIS = 4;
    private static final int PAGE_ITEMS = 500;
    private static final int MAX_TRANSACTION_ENTRIES = 32;

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Change(String key, long revision, Item item) {}

    private final HttpStandin server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private long revision = 1;
    private long nextLease = 100;

    StoreStandin() throws IOException {
        server = new HttpStandin(this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes as the operator or a worker does. */
    synchronized void put(String key, String value) {
        revision++;
        set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) {
            revision++;
            delete(key);
            notifyAll();
        }
    }

    private void set(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
        items.put(key, item);
        changes.add(new Change(key, revision, item));
    }

    private void delete(String key) {
        items.remove(key);
        changes.add(new Change(key, revision, null));
    }

    private void expireLeases() {
        long now = System.nanoTime() / 1_000_000;
        for (long lease : List.copyOf(leaseEnds.keySet())) {
            if (leaseEnds.get(lease) < now) {
                leaseEnds.remove(lease);
                for (Item item : List.copyOf(items.values())) {
                    if (item.lease() == lease) {
                        revision++;
                        delete(item.key());
                    }
                }
            }
        }
    }

    private Answer handle(Request request) throws InterruptedException {
        Thread.sleep(ANSWER_MILLIS);
        if (request.path().equals("/api/kv-watch")) {
            return watch(request);
        }
        synchronized (this) {
            expireLeases();
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
        long now = System.nanoTime() / 1_000_000;
        if (path.equals("/api/kv-lease")) {
            long lease = nextLease++;
            long ttl = Math.max(1_000, request.body().path("ttl_ms").asLong());
            leaseTtls.put(lease, ttl);
            leaseEnds.put(lease, now + ttl);
            Answer answer = Answer.of(200);
            answer.body().put("lease", lease).put("ttl_ms", ttl);
            return answer;
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (!leaseEnds.containsKey(lease)) {
            return Answer.of(404);
        }
        leaseEnds.put(lease, now + leaseTtls.get(lease));
        return Answer.of(200);
    }

    private static ObjectNode json(Item item) {
        return HttpStandin.MAPPER
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
        boolean hasMore = false;
        for (Item item : items.tailMap(prefix).values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                hasMore = page.size() == PAGE_ITEMS;
                if (hasMore) {
                    break;
                }
                page.add(json(item));
            }
        }
        answer.body().put("has_more", hasMore);
        return answer;
    }

    private Answer transaction(JsonNode body) {
        int entries =
                body.path("expected_rev").size()
                        + body.path("puts").size()
                        + body.path("remove").size();
        if (entries > MAX_TRANSACTION_ENTRIES) {
            return Answer.of(400);
        }
        boolean holds = true;
        Answer conflict = Answer.of(412);
        ArrayNode current = conflict.body().putArray("items");
        for (JsonNode condition : body.path("expected_rev")) {
            String key = condition.path("key").asText();
            Item item = items.get(key);
            holds &= (item == null ? 0 : item.revision()) == condition.path("rev").asLong();
            current.add(
                    item == null
                            ? HttpStandin.MAPPER.createObjectNode().put("key", key).put("rev", 0)
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
        revision++;
        for (JsonNode put : body.path("puts")) {
            set(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
        }
        for (JsonNode key : body.path("remove")) {
            if (items.containsKey(key.asText())) {
                delete(key.asText());
            }
        }
        Answer answer = Answer.of(200);
        answer.body().put("rev", revision);
        return answer;
    }

    private synchronized Answer watch(Request request) throws InterruptedException {
        String prefix = request.query().get("prefix");
        long after = Long.parseLong(request.query().get("after"));
        long deadline =
                System.nanoTime() / 1_000_000 + Long.parseLong(request.query().get("wait_ms"));
        Answer answer = Answer.of(200);
        ArrayNode events = answer.body().putArray("events");
        while (true) {
            expireLeases();
            for (Change change : changes) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.add(
                            change.item() == null
                                    ? HttpStandin.MAPPER
                                            .createObjectNode()
                                            .put("key", change.key())
                                            .put("rev", change.revision())
                                            .put("deleted", true)
                                    : json(change.item()));
                }
            }
            long left = deadline - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                answer.body().put("store_revision", revision);
                return answer;
            }
            wait(Math.min(left, 50));
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
