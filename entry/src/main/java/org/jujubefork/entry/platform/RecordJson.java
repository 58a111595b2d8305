package org.jujubefork.entry.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jujubefork.core.model.Resources;

/** JSON helpers for values of the store. */
final class RecordJson {
    static final JsonMapper MAPPER = JsonMapper.builder().build();

    private RecordJson() {}

    /** Reads a record, all of whose fields are required. */
    @FunctionalInterface
    interface Reader<T> {
        T read(JsonNode node);
    }

    static <T> T decode(String what, String text, Reader<T> reader)
            throws MalformedRecordException {
        try {
            return reader.read(MAPPER.readTree(text));
        } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
            throw new MalformedRecordException(what + " is malformed: " + e.getMessage(), e);
        }
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static String text(JsonNode node, String field) {
        return node.required(field).asText();
    }

    static ObjectNode resources(Resources amount) {
        return object().put("cpuMillis", amount.cpuMillis())
                .put("memoryMb", amount.memoryMb())
                .put("accelerators", amount.accelerators());
    }

    static Resources resources(JsonNode node) {
        return Resources.of(
                node.required("cpuMillis").asLong(),
                node.required("memoryMb").asLong(),
                node.required("accelerators").asLong());
    }
}
