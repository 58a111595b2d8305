package org.jujubefork.config.reference;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import org.jujubefork.config.schema.Field;
import org.jujubefork.config.schema.ValueType;

/** Formats declarations of settings as JSON schemas (draft 2020-12). */
final class JsonSchema {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private JsonSchema() {}

    /** Returns the JSON schema of {@code objectType}. */
    static String of(String title, ValueType.ObjectType objectType) {
        ObjectNode root = NODES.objectNode();
        root.put("$schema", "https://json-schema.org/draft/2020-12/schema");
        root.put("title", title);
        root.setAll(typeNode(objectType));
        DefaultIndenter indenter = new DefaultIndenter("  ", "\n");
        DefaultPrettyPrinter printer =
                new DefaultPrettyPrinter().withObjectIndenter(indenter).withArrayIndenter(indenter);
        try {
            return MAPPER.writer(printer).writeValueAsString(root) + "\n";
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("failed to serialize a JSON schema", e);
        }
    }

    private static ObjectNode typeNode(ValueType type) {
        ObjectNode node = NODES.objectNode();
        switch (type) {
            case ValueType.StringType stringType ->
                    node.put("type", "string").put("pattern", "^(" + stringType.pattern() + ")$");
            case ValueType.IntegerType integerType ->
                    node.put("type", "integer")
                            .put("minimum", integerType.min())
                            .put("maximum", integerType.max());
            case ValueType.NumberType numberType ->
                    node.put("type", "number")
                            .put("exclusiveMinimum", numberType.exclusiveMin())
                            .put("maximum", numberType.max());
            case ValueType.BooleanType _ -> node.put("type", "boolean");
            case ValueType.EnumType enumType -> {
                ArrayNode names = node.put("type", "string").putArray("enum");
                enumType.values().forEach(names::add);
            }
            case ValueType.ListType listType ->
                    node.put("type", "array").set("items", typeNode(listType.elementType()));
            case ValueType.ObjectType objectType -> addFields(node, objectType);
        }
        return node;
    }

    private static void addFields(ObjectNode node, ValueType.ObjectType objectType) {
        node.put("type", "object").put("additionalProperties", false);
        ObjectNode properties = node.putObject("properties");
        ArrayNode required = NODES.arrayNode();
        for (Field field : objectType.fields()) {
            ObjectNode property = typeNode(field.type());
            String unit = field.unit().isEmpty() ? "" : " Unit: " + field.unit() + ".";
            property.put("description", field.description() + unit);
            field.defaultValue()
                    .ifPresent(value -> property.set("default", MAPPER.valueToTree(value)));
            properties.set(field.name(), property);
            if (field.isRequired()) {
                required.add(field.name());
            }
        }
        if (!required.isEmpty()) {
            node.set("required", required);
        }
    }
}
