package org.jujubefork.client.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Resources;

/**
 * Reads the fields of a JSON object strictly: a missing field, a field of the wrong type or a value
 * rejected by the constructor of a model type is an error.
 */
public final class JsonFields {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final JsonNode node;

    private JsonFields(JsonNode node) {
        this.node = node;
    }

    /** Returns a new, empty JSON object for a request body. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Returns the UTF-8 encoding of {@code node}. */
    public static byte[] encode(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (IOException e) {
            // Serializing an in-memory tree does no I/O.
            throw new IllegalStateException("cannot serialize JSON tree", e);
        }
    }

    /**
     * Parses a JSON object.
     *
     * @throws MalformedResponseException if {@code json} is not a JSON object
     */
    public static JsonFields parse(byte[] json) throws MalformedResponseException {
        try {
            return of(MAPPER.readTree(json));
        } catch (IOException e) {
            throw new MalformedResponseException("response is not JSON: " + e.getMessage(), e);
        }
    }

    private static JsonFields of(JsonNode node) throws MalformedResponseException {
        if (node == null || !node.isObject()) {
            throw new MalformedResponseException("response is not a JSON object");
        }
        return new JsonFields(node);
    }

    /** Returns the string field {@code name}. */
    public String text(String name) throws MalformedResponseException {
        JsonNode value = node.path(name);
        if (!value.isTextual()) {
            throw new MalformedResponseException("no string field '" + name + "' in the response");
        }
        return value.textValue();
    }

    /** Returns the string field {@code name}, or empty if it is missing or null. */
    public Optional<String> textIfPresent(String name) throws MalformedResponseException {
        return node.hasNonNull(name) ? Optional.of(text(name)) : Optional.empty();
    }

    /** Returns the integer field {@code name}. */
    public long number(String name) throws MalformedResponseException {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new MalformedResponseException("no integer field '" + name + "' in the response");
        }
        return value.longValue();
    }

    /** Returns the integer field {@code name}, which must fit into an {@code int}. */
    public int intNumber(String name) throws MalformedResponseException {
        long value = number(name);
        if (value != (int) value) {
            throw new MalformedResponseException("field '" + name + "' out of range: " + value);
        }
        return (int) value;
    }

    /** Returns the boolean field {@code name}. */
    public boolean flag(String name) throws MalformedResponseException {
        JsonNode value = node.path(name);
        if (!value.isBoolean()) {
            throw new MalformedResponseException("no boolean field '" + name + "' in the response");
        }
        return value.booleanValue();
    }

    /** Returns the decoded bytes of the Base64 string field {@code name}. */
    public byte[] bytes(String name) throws MalformedResponseException {
        text(name);
        try {
            return node.path(name).binaryValue();
        } catch (IOException e) {
            throw new MalformedResponseException("field '" + name + "' is not Base64", e);
        }
    }

    /** Returns whether the object has the field {@code name} with a value other than null. */
    public boolean has(String name) {
        return node.hasNonNull(name);
    }

    /** Returns the object in the field {@code name}. */
    public JsonFields child(String name) throws MalformedResponseException {
        if (!node.path(name).isObject()) {
            throw new MalformedResponseException("no object field '" + name + "' in the response");
        }
        return new JsonFields(node.path(name));
    }

    /** Returns the objects in the array field {@code name}, each decoded by {@code decoder}. */
    public <T> List<T> list(String name, Decoder<T> decoder) throws MalformedResponseException {
        JsonNode array = node.path(name);
        if (!array.isArray()) {
            throw new MalformedResponseException("no array field '" + name + "' in the response");
        }
        List<T> result = new ArrayList<>(array.size());
        for (JsonNode element : array) {
            result.add(of(element).decode("element of '" + name + "'", decoder));
        }
        return List.copyOf(result);
    }

    /** As {@link #list}, but a missing field counts as an empty array. */
    public <T> List<T> listIfPresent(String name, Decoder<T> decoder)
            throws MalformedResponseException {
        return node.has(name) ? list(name, decoder) : List.of();
    }

    /** Returns the strings in the array field {@code name}; empty if the field is missing. */
    public List<String> textsIfPresent(String name) throws MalformedResponseException {
        List<String> result = new ArrayList<>();
        if (node.has(name) && !node.path(name).isArray()) {
            throw new MalformedResponseException("no array field '" + name + "' in the response");
        }
        for (JsonNode element : node.path(name)) {
            if (!element.isTextual()) {
                throw new MalformedResponseException("element of '" + name + "' is not a string");
            }
            result.add(element.textValue());
        }
        return List.copyOf(result);
    }

    /** Returns the resources in the object field {@code name}. */
    public Resources resources(String name) throws MalformedResponseException {
        JsonFields child = child(name);
        return Resources.of(
                child.number("cpuMillis"), child.number("memoryMb"), child.number("accelerators"));
    }

    /** Returns the epoch made of the fields {@code epoch} (number) and {@code holder} (entry). */
    public Epoch epoch() throws MalformedResponseException {
        return decode("epoch", f -> Epoch.of(f.number("epoch"), EntryId.parse(f.text("holder"))));
    }

    /** Returns the enum constant named by the string field {@code name}. */
    public <E extends Enum<E>> E enumConstant(String name, Class<E> type)
            throws MalformedResponseException {
        return decode(name, f -> Enum.valueOf(type, f.text(name)));
    }

    /**
     * Decodes a model value from this object. An {@link IllegalArgumentException} from its
     * constructor is reported as a malformed response.
     *
     * @throws MalformedResponseException if a field is missing or invalid; the message names {@code
     *     description}
     */
    public <T> T decode(String description, Decoder<T> decoder) throws MalformedResponseException {
        try {
            return decoder.decode(this);
        } catch (IllegalArgumentException e) {
            throw new MalformedResponseException(description + " is invalid: " + e.getMessage(), e);
        }
    }

    /**
     * Decodes one value from a JSON object.
     *
     * @param <T> type of the value
     */
    @FunctionalInterface
    public interface Decoder<T> {
        /**
         * Returns the decoded value.
         *
         * @throws MalformedResponseException if a field is missing or has another type
         */
        T decode(JsonFields fields) throws MalformedResponseException;
    }
}
