package org.jujubefork.client.api;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.BeanProperty;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.ContextualDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.util.Optional;

/**
 * Jackson module that reads and writes {@link Optional} components; null and missing values are
 * read as empty.
 */
final class OptionalModule extends SimpleModule {
    private static final long serialVersionUID = 1L;

    OptionalModule() {
        super("optional");
        addSerializer(Optional.class, new Writer());
        addDeserializer(Optional.class, new Reader(null));
    }

    // Jackson passes optionals of all element types as the raw class.
    @SuppressWarnings({"rawtypes", "unchecked"})
    private static final class Writer extends JsonSerializer<Optional> {
        @Override
        public void serialize(Optional value, JsonGenerator generator, SerializerProvider provider)
                throws IOException {
            provider.defaultSerializeValue(value.orElse(null), generator);
        }

        @Override
        public boolean isEmpty(SerializerProvider provider, Optional value) {
            return value == null || value.isEmpty();
        }
    }

    @SuppressWarnings("rawtypes")
    private static final class Reader extends JsonDeserializer<Optional>
            implements ContextualDeserializer {
        private final JavaType content;

        Reader(JavaType content) {
            this.content = content;
        }

        @Override
        public JsonDeserializer<?> createContextual(
                DeserializationContext context, BeanProperty property) {
            return new Reader(context.getContextualType().containedType(0));
        }

        @Override
        public Optional deserialize(JsonParser parser, DeserializationContext context)
                throws IOException {
            return Optional.ofNullable(context.readValue(parser, content));
        }

        @Override
        public Optional getNullValue(DeserializationContext context) {
            return Optional.empty();
        }

        @Override
        public Object getAbsentValue(DeserializationContext context) {
            return Optional.empty();
        }
    }
}
