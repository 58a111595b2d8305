package org.jujubefork.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One HTTP request.
 *
 * @param path the path as sent, still percent-encoded
 * @param query the decoded query parameters
 * @param ifNoneMatch the entity tag that the caller has, empty if it sent none
 * @param port the local port at which the request came in
 */
@SuppressWarnings("ArrayRecordComponent") // compared nowhere; a copy of each body is waste
public record Call(
        String method,
        String path,
        Map<String, String> query,
        String ifNoneMatch,
        byte[] body,
        int port) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static Map<String, String> parseQuery(String text) {
        Map<String, String> result = new HashMap<>();
        if (text != null && !text.isEmpty()) {
            for (String part : text.split("&", -1)) {
                int equals = part.indexOf('=');
                String name = equals < 0 ? part : part.substring(0, equals);
                result.put(decode(name), equals < 0 ? "" : decode(part.substring(equals + 1)));
            }
        }
        return Map.copyOf(result);
    }

    public static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    /** Returns the decoded segments of the path after {@code prefix}. */
    public List<String> segmentsAfter(String prefix) {
        return List.of(path.substring(prefix.length()).split("/", -1)).stream()
                .map(Call::decode)
                .toList();
    }

    public String text(String name) {
        return query.getOrDefault(name, "");
    }

    public Optional<String> parameter(String name) {
        return Optional.ofNullable(query.get(name));
    }

    /** Returns an integer parameter; a missing or malformed one is refused with 400. */
    public long number(String name) {
        try {
            return Long.parseLong(text(name));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("no integer parameter " + name, e);
        }
    }

    public JsonNode json() {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("body is not JSON", e);
        }
        throw new IllegalArgumentException("body is not a JSON object");
    }
}
