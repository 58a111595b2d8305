package org.jujubefork.config.reference;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.config.schema.Field;
import org.jujubefork.config.schema.ValueType;

/** Formats declarations as Markdown tables with name, type, unit, default, bounds and effect. */
final class MarkdownReference {
    private static final String HEADER =
            "| name | type | unit | default | bounds | effect |\n|---|---|---|---|---|---|\n";

    private MarkdownReference() {}

    /**
     * Returns a section {@code title} with one table row for each setting, nested ones included.
     */
    static String section(String title, String introduction, ValueType.ObjectType parentType) {
        List<String> rows = new ArrayList<>();
        addRows("", parentType, rows);
        return "## " + title + "\n\n" + introduction + "\n\n" + HEADER + String.join("", rows);
    }

    private static void addRows(String prefix, ValueType.ObjectType parentType, List<String> rows) {
        for (Field field : parentType.fields()) {
            String name = prefix + field.name();
            rows.add(row(name, field));
            switch (field.type()) {
                case ValueType.ObjectType objectType -> addRows(name + ".", objectType, rows);
                case ValueType.ListType(ValueType.ObjectType objectType) ->
                        addRows(name + "[].", objectType, rows);
                default -> {
                    // Other types have no fields.
                }
            }
        }
    }

    private static String row(String name, Field field) {
        return String.format(
                        "| `%s` | %s | %s | %s | %s | %s |%n",
                        name,
                        typeName(field.type()),
                        field.unit(),
                        defaultText(field),
                        bounds(field.type()).replace("|", "\\|"),
                        field.description())
                .replace(System.lineSeparator(), "\n");
    }

    private static String defaultText(Field field) {
        if (field.isRequired()) {
            return "required";
        }
        return field.defaultValue().map(value -> "`" + value + "`").orElse("none");
    }

    private static String typeName(ValueType type) {
        return switch (type) {
            case ValueType.StringType _, ValueType.EnumType _ -> "string";
            case ValueType.IntegerType _ -> "whole number";
            case ValueType.NumberType _ -> "number";
            case ValueType.BooleanType _ -> "boolean";
            case ValueType.ListType listType -> "list of " + typeName(listType.elementType()) + "s";
            case ValueType.ObjectType _ -> "object";
        };
    }

    private static String bounds(ValueType type) {
        return switch (type) {
            case ValueType.StringType stringType -> stringType.description();
            case ValueType.EnumType enumType -> String.join(", ", enumType.values());
            case ValueType.IntegerType integerType ->
                    integerType.min() + " to " + integerType.max();
            case ValueType.NumberType numberType ->
                    "above " + numberType.exclusiveMin() + ", at most " + numberType.max();
            case ValueType.ListType listType -> bounds(listType.elementType());
            case ValueType.BooleanType _, ValueType.ObjectType _ -> "";
        };
    }
}
