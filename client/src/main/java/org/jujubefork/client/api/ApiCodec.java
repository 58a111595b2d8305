package org.jujubefork.client.api;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** Encodes and decodes the API's messages as JSON. Safe for use by several threads. */
public final class ApiCodec {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .addModule(new OptionalModule())
                    .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .withConfigOverride(
                            Optional.class,
                            override ->
                                    override.setInclude(
                                            JsonInclude.Value.construct(
                                                    JsonInclude.Include.NON_EMPTY,
                                                    JsonInclude.Include.ALWAYS)))
                    .build();
    private static final ObjectReader STRICT_READER =
            MAPPER.reader().with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ApiCodec() {}

    /** Returns {@code message} as JSON in UTF-8. */
    public static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(
                    "cannot encode as JSON: " + message.getClass().getName(), e);
        }
    }

    /** Returns {@code message} as indented JSON for display. */
    public static String encodeIndented(Object message) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(message);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(
                    "cannot encode as JSON: " + message.getClass().getName(), e);
        }
    }

    /**
     * Decodes the body of a request. Unknown fields are rejected, so that a misspelt field is not
     * silently ignored.
     *
     * @throws InvalidMessageException if {@code json} is not a valid message of {@code type}
     */
    public static <T> T decodeRequest(byte[] json, Class<T> type) throws InvalidMessageException {
        return decode(STRICT_READER, json, type);
    }

    /**
     * Decodes the body of a response. Unknown fields are ignored, so that newer daemons can add
     * fields.
     *
     * @throws InvalidMessageException if {@code json} is not a valid message of {@code type}
     */
    public static <T> T decodeResponse(byte[] json, Class<T> type) throws InvalidMessageException {
        return decode(MAPPER.reader(), json, type);
    }

    private static <T> T decode(ObjectReader reader, byte[] json, Class<T> type)
            throws InvalidMessageException {
        try {
            T message = reader.forType(type).readValue(json);
            if (message == null) {
                throw new InvalidMessageException("the body is null", null);
            }
            return message;
        } catch (JsonMappingException e) {
            throw new InvalidMessageException(
                    e.getPathReference().isEmpty()
                            ? e.getOriginalMessage()
                            : e.getOriginalMessage() + " at " + path(e),
                    e);
        } catch (JsonProcessingException e) {
            throw new InvalidMessageException("not JSON: " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read from byte array", e);
        }
    }

    private static String path(JsonMappingException e) {
        StringBuilder path = new StringBuilder("$");
        for (JsonMappingException.Reference step : e.getPath()) {
            path.append(
                    step.getFieldName() == null
                            ? "[" + step.getIndex() + "]"
                            : "." + step.getFieldName());
        }
        return path.toString();
    }
}
