package org.jujubefork.entry.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jujubefork.core.model.Resources;

/** Helpers that encode and decode the JSON records in the store. */
final class RecordJson {
    static final JsonMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private RecordJson() {}

    /** Decodes a record. Throws an {@link IllegalArgumentException} if the record is malformed. */
    @FunctionalInterface
    interface Reader<T> {
        T read(JsonNode node);
    }

    static <T> T decode(String recordType, String text, Reader<T> reader)
            throws MalformedRecordException {
        try {
            return reader.read(requireObject(MAPPER.readTree(text)));
        } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
            throw new MalformedRecordException(recordType + " is malformed: " + e.getMessage(), e);
        }
    }

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /**
     * Returns {@code node} if it is an object, and throws otherwise. Jackson returns no fields for
     * any other node, so without this check a damaged record would be decoded as an empty one.
     */
    static JsonNode requireObject(JsonNode node) {
        if (node == null || !node.isObject()) {
            throw new IllegalArgumentException("not an object: " + node);
        }
        return node;
    }

    static String text(JsonNode node, String field) {
        JsonNode value = node.required(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " is not text: " + value);
        }
        return value.asText();
    }

    static long number(JsonNode node, String field) {
        JsonNode value = node.required(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException(field + " is not a whole number: " + value);
        }
        return value.asLong();
    }

    static int integer(JsonNode node, String field) {
        long value = number(node, field);
        if (value != (int) value) {
            throw new IllegalArgumentException(field + " is out of range: " + value);
        }
        return (int) value;
    }

    static ObjectNode encodeResources(Resources amount) {
        return newObject()
                .put("cpuMillis", amount.cpuMillis())
                .put("memoryMb", amount.memoryMb())
                .put("accelerators", amount.accelerators());
    }

    static Resources decodeResources(JsonNode node) {
        return Resources.of(
                number(node, "cpuMillis"), number(node, "memoryMb"), number(node, "accelerators"));
    }
}
