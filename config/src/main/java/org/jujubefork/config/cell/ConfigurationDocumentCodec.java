package org.jujubefork.config.cell;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.UncheckedIOException;

/** The JSON form of {@link ConfigurationDocument}. Equal documents have equal forms. */
public final class ConfigurationDocumentCodec {
    /** Largest JSON form in bytes; the store takes values of up to 1 MB. */
    public static final int MAX_BYTES = 1_000_000;

    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private ConfigurationDocumentCodec() {}

    /** Returns the JSON form of {@code document}. */
    public static String encode(ConfigurationDocument document) {
        try {
            return MAPPER.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("encoding a document of strings failed", e);
        }
    }

    /**
     * Returns the document whose JSON form is {@code json}.
     *
     * @throws InvalidDocumentException if {@code json} has another form
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
