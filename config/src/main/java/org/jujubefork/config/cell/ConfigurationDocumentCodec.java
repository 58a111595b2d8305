package org.jujubefork.config.cell;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.UncheckedIOException;

/**
 * Encodes and decodes {@link ConfigurationDocument} as JSON. Equal documents have equal encodings.
 */
public final class ConfigurationDocumentCodec {
    /** Maximum size of the JSON encoding; the store accepts values of up to 1 MB. */
    public static final int MAX_BYTES = 1_000_000;

    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private ConfigurationDocumentCodec() {}

    /** Returns the JSON encoding of {@code document}. */
    public static String encode(ConfigurationDocument document) {
        try {
            return MAPPER.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("failed to encode a configuration document", e);
        }
    }

    /**
     * Returns the document that {@code json} encodes.
     *
     * @throws InvalidDocumentException if {@code json} is not a valid encoding of a document
     */
    public static ConfigurationDocument decode(String json) throws InvalidDocumentException {
        try {
            ConfigurationDocument document = MAPPER.readValue(json, ConfigurationDocument.class);
            if (document == null) {
                throw new InvalidDocumentException("the document is null", null);
            }
            return document;
        } catch (JsonProcessingException e) {
            throw new InvalidDocumentException(
                    "not a configuration document: " + e.getOriginalMessage(), e);
        }
    }
}
