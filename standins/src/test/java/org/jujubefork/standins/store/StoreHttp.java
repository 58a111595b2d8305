package org.jujubefork.standins.store;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jujubefork.standins.http.Call;
import org.jujubefork.standins.http.Reply;

/** Maps between HTTP and the store's commands; decides nothing. */
final class StoreHttp {
    static final String KEYS = "/v1/kv/";
    static final String LEASES = "/v1/leases";
    static final int MAX_VALUE_BYTES = 1024 * 1024;

    private StoreHttp() {}

    static boolean isWrite(Call call) {
        return !call.method().equals("GET");
    }

    /** Returns the name under which a call is counted. */
    static String kind(Call call) {
        if (call.path().startsWith(KEYS)) {
            return switch (call.method()) {
                case "GET" -> "get";
                case "PUT" -> "put";
                case "DELETE" -> "delete";
                default -> "other";
            };
        }
        if (call.path().startsWith(LEASES)) {
            return call.method().equals("POST") ? "grant" : "keepAlive";
        }
        return switch (call.path()) {
            case "/v1/range" -> "range";
            case "/v1/watch" -> "watch";
            default -> "other";
        };
    }

    static String key(Call call) {
        return Call.decode(call.path().substring(KEYS.length()));
    }

    static StoreCommand command(Call call) {
        OptionalLong ifRevision =
                call.parameter("ifRevision").isPresent()
                        ? OptionalLong.of(call.number("ifRevision"))
                        : OptionalLong.empty();
        return switch (kind(call)) {
            case "put" ->
                    new StoreCommand.Put(key(call), call.body(), ifRevision, call.text("lease"));
            case "delete" -> new StoreCommand.Delete(key(call), ifRevision);
            case "grant" -> {
                long millis = call.json().path("ttlMillis").asLong();
                if (millis <= 0) {
                    throw new IllegalArgumentException("ttlMillis must be positive: " + millis);
                }
                yield new StoreCommand.Grant(TimeUnit.MILLISECONDS.toNanos(millis));
            }
            case "keepAlive" ->
                    new StoreCommand.KeepAlive(
                            Call.decode(call.path().substring(LEASES.length() + 1)));
            default ->
                    throw new IllegalArgumentException(
                            "no such resource: " + call.method() + " " + call.path());
        };
    }

    static StoreCommand withoutRevision(StoreCommand command) {
        return switch (command) {
            case StoreCommand.Put p ->
                    new StoreCommand.Put(p.key(), p.value(), OptionalLong.empty(), p.lease());
            case StoreCommand.Delete d -> new StoreCommand.Delete(d.key(), OptionalLong.empty());
            default -> command;
        };
    }

    static Reply reply(Call call, StoreOutcome outcome) {
        return switch (outcome) {
            case StoreOutcome.Written w ->
                    Reply.json(200, Reply.object().put("revision", w.revision()));
            case StoreOutcome.Conflict c ->
                    Reply.json(412, Reply.object().put("currentRevision", c.currentRevision()));
            case StoreOutcome.NoSuchKey n -> Reply.error(404, "NO_SUCH_KEY", "key does not exist");
            case StoreOutcome.NoSuchLease n ->
                    Reply.error(404, "NO_SUCH_LEASE", "lease has expired");
            case StoreOutcome.Leased l ->
                    Reply.json(
                            call.method().equals("POST") ? 201 : 200,
                            Reply.object()
                                    .put("id", l.id())
                                    .put("ttlMillis", TimeUnit.NANOSECONDS.toMillis(l.ttlNanos())));
            case StoreOutcome.None n -> Reply.json(200, Reply.object());
        };
    }

    static Reply value(Optional<StoredValue> value) {
        return value.map(
                        v ->
                                Reply.bytes(
                                        v.value(),
                                        Map.of("Jujube-Revision", Long.toString(v.revision()))))
                .orElseGet(() -> Reply.error(404, "NO_SUCH_KEY", "key does not exist"));
    }

    static Reply range(StoreState state, String prefix) {
        ObjectNode answer = Reply.object().put("revision", state.revision());
        ArrayNode items = answer.putArray("items");
        for (Map.Entry<String, StoredValue> e : state.values().tailMap(prefix).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            items.addObject()
                    .put("key", e.getKey())
                    .put("revision", e.getValue().revision())
                    .put("value", e.getValue().value());
        }
        return Reply.json(200, answer);
    }

    static Reply changes(long revision, List<StoredChange> changes) {
        ObjectNode answer = Reply.object().put("revision", revision);
        ArrayNode array = answer.putArray("changes");
        for (StoredChange change : changes) {
            ObjectNode node =
                    array.addObject()
                            .put("key", change.key())
                            .put("revision", change.revision())
                            .put("deleted", change.value().isEmpty());
            change.value().ifPresent(v -> node.put("value", v));
        }
        return Reply.json(200, answer);
    }

    static Reply trimmed(long revision) {
        return Reply.json(410, Reply.object().put("error", "TRIMMED").put("revision", revision));
    }
}
