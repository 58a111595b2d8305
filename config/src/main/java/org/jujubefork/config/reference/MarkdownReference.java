package org.jujubefork.config.reference;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.config.schema.Field;
import org.jujubefork.config.schema.Shape;

/** Writes declarations as Markdown tables with name, type, unit, default, bounds and effect. */
final class MarkdownReference {
    private static final String HEADER =
            "| name | type | unit | default | bounds | effect |\n|---|---|---|---|---|---|\n";

    private MarkdownReference() {}

    /** Returns a section {@code title} with one row for each setting of {@code structure}. */
    static String section(String title, String introduction, Shape.Structure structure) {
        List<String> rows = new ArrayList<>();
        addRows("", structure, rows);
        return "## " + title + "\n\n" + introduction + "\n\n" + HEADER + String.join("", rows);
    }

    private static void addRows(String prefix, Shape.Structure structure, List<String> rows) {
        for (Field field : structure.fields()) {
            String name = prefix + field.name();
            rows.add(row(name, field));
            switch (field.shape()) {
                case Shape.Structure inner -> addRows(name + ".", inner, rows);
                case Shape.ListOf(Shape.Structure inner) -> addRows(name + "[].", inner, rows);
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
                        type(field.shape()),
                        field.unit(),
                        defaultOf(field),
                        bounds(field.shape()).replace("|", "\\|"),
                        field.effect())
                .replace(System.lineSeparator(), "\n");
    }

    private static String defaultOf(Field field) {
        if (field.isRequired()) {
            return "required";
        }
        return field.defaultValue().map(value -> "`" + value + "`").orElse("none");
    }

    private static String type(Shape shape) {
        return switch (shape) {
            case Shape.Text _, Shape.Choice _ -> "string";
            case Shape.Whole _ -> "whole number";
            case Shape.Decimal _ -> "number";
            case Shape.Flag _ -> "boolean";
            case Shape.ListOf list -> "list of " + type(list.element()) + "s";
            case Shape.Structure _ -> "object";
        };
    }

    private static String bounds(Shape shape) {
        return switch (shape) {
            case Shape.Text text -> text.description();
            case Shape.Choice choice -> String.join(", ", choice.names());
            case Shape.Whole whole -> whole.min() + " to " + whole.max();
            case Shape.Decimal decimal -> "above " + decimal.above() + ", at most " + decimal.max();
            case Shape.ListOf list -> bounds(list.element());
            case Shape.Flag _, Shape.Structure _ -> "";
        };
    }
}
