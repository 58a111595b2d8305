package org.jujubefork.config.reference;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.config.schema.Field;
import org.jujubefork.config.schema.ValueType;

/** Writes declarations as Markdown tables with name, type, unit, default, bounds and effect. */
final class MarkdownReference {
    private static final String HEADER =
            "| name | type | unit | default | bounds | effect |\n|---|---|---|---|---|---|\n";

    private MarkdownReference() {}

    /** Returns a section {@code title} with one row for each setting of {@code structure}. */
    static String section(String title, String introduction, ValueType.ObjectType structure) {
        List<String> rows = new ArrayList<>();
        addRows("", structure, rows);
        return "## " + title + "\n\n" + introduction + "\n\n" + HEADER + String.join("", rows);
    }

    private static void addRows(String prefix, ValueType.ObjectType structure, List<String> rows) {
        for (Field field : structure.fields()) {
            String name = prefix + field.name();
            rows.add(row(name, field));
            switch (field.type()) {
                case ValueType.ObjectType objectType -> addRows(name + ".", objectType, rows);
                case ValueType.ListType(ValueType.ObjectType objectType) ->
                        addRows(name + "[].", objectType, rows);
                default -> {
                    // Other shapes have no fields of their own.
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
            case ValueType.ListType list -> "list of " + typeName(list.elementType()) + "s";
            case ValueType.ObjectType _ -> "object";
        };
    }

    private static String bounds(ValueType type) {
        return switch (type) {
            case ValueType.StringType text -> text.description();
            case ValueType.EnumType choice -> String.join(", ", choice.values());
            case ValueType.IntegerType whole -> whole.min() + " to " + whole.max();
            case ValueType.NumberType decimal ->
                    "above " + decimal.exclusiveMin() + ", at most " + decimal.max();
            case ValueType.ListType list -> bounds(list.elementType());
            case ValueType.BooleanType _, ValueType.ObjectType _ -> "";
        };
    }
}
