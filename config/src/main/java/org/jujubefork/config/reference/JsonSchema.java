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
import org.jujubefork.config.schema.Shape;

/** Writes declarations as JSON schemas (draft 2020-12). */
final class JsonSchema {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private JsonSchema() {}

    /** Returns the schema of {@code structure}. */
    static String of(String title, Shape.Structure structure) {
        ObjectNode root = NODES.objectNode();
        root.put("$schema", "https://json-schema.org/draft/2020-12/schema");
        root.put("title", title);
        root.setAll(node(structure));
        DefaultIndenter indenter = new DefaultIndenter("  ", "\n");
        DefaultPrettyPrinter printer =
                new DefaultPrettyPrinter().withObjectIndenter(indenter).withArrayIndenter(indenter);
        try {
            return MAPPER.writer(printer).writeValueAsString(root) + "\n";
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("writing a tree of nodes failed", e);
        }
    }

    private static ObjectNode node(Shape shape) {
        ObjectNode node = NODES.objectNode();
        switch (shape) {
            case Shape.Text text ->
                    node.put("type", "string").put("pattern", "^(" + text.pattern() + ")$");
            case Shape.Whole whole ->
                    node.put("type", "integer")
                            .put("minimum", whole.min())
                            .put("maximum", whole.max());
            case Shape.Decimal decimal ->
                    node.put("type", "number")
                            .put("exclusiveMinimum", decimal.above())
                            .put("maximum", decimal.max());
            case Shape.Flag _ -> node.put("type", "boolean");
            case Shape.Choice choice -> {
                ArrayNode names = node.put("type", "string").putArray("enum");
                choice.names().forEach(names::add);
            }
            case Shape.ListOf list -> node.put("type", "array").set("items", node(list.element()));
            case Shape.Structure structure -> addFields(node, structure);
        }
        return node;
    }

    private static void addFields(ObjectNode node, Shape.Structure structure) {
        node.put("type", "object").put("additionalProperties", false);
        ObjectNode properties = node.putObject("properties");
        ArrayNode required = NODES.arrayNode();
        for (Field field : structure.fields()) {
            ObjectNode property = node(field.shape());
            String unit = field.unit().isEmpty() ? "" : " Unit: " + field.unit() + ".";
            property.put("description", field.effect() + unit);
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
