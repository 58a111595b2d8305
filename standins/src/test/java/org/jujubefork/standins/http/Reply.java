package org.jujubefork.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** What a handler answers. */
public sealed interface Reply {
    /** A whole body. */
    @SuppressWarnings("ArrayRecordComponent") // compared nowhere
    record Body(int status, String type, byte[] bytes, Map<String, String> headers)
            implements Reply {}

    /** A body with status 200 that is written in chunks. */
    record Stream(String type, BodyWriter writer) implements Reply {}

    /** The connection is closed without an answer. */
    record Drop() implements Reply {}

    /** Writes a body. */
    @FunctionalInterface
    interface BodyWriter {
        void write(OutputStream out) throws IOException;
    }

    ObjectMapper MAPPER = new ObjectMapper();

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static Reply json(int status, JsonNode node) {
        return json(status, node, Map.of());
    }

    static Reply json(int status, JsonNode node, Map<String, String> headers) {
        try {
            return new Body(status, "application/json", MAPPER.writeValueAsBytes(node), headers);
        } catch (IOException e) {
            throw new IllegalStateException("JSON tree not writable", e);
        }
    }

    /** Returns an answer without a body: the caller has the entity with this tag. */
    static Reply notModified(String tag) {
        return new Body(304, "", new byte[0], Map.of("ETag", tag));
    }

    static Reply error(int status, String error, String message) {
        return json(status, object().put("error", error).put("message", message));
    }

    static Reply bytes(byte[] bytes, Map<String, String> headers) {
        return new Body(200, "application/octet-stream", bytes, headers);
    }

    /** Returns an answer with status 200 that is no JSON. */
    static Reply nonsense() {
        byte[] text = "<<{nonsense".getBytes(StandardCharsets.UTF_8);
        return new Body(200, "application/json", text, Map.of());
    }
}
