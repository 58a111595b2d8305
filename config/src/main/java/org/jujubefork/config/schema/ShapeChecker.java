package org.jujubefork.config.schema;

import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.jujubefork.config.source.Finding;
import org.jujubefork.config.source.NearestName;
import org.jujubefork.config.source.SourceKind;
import org.jujubefork.config.source.SourceMember;
import org.jujubefork.config.source.SourceValue;

/** Checks a value against its declaration: types, bounds, unknown and missing fields. */
public final class ShapeChecker {
    private final Consumer<Finding> findings;

    private ShapeChecker(Consumer<Finding> findings) {
        this.findings = findings;
    }

    /** Checks {@code value} against {@code shape} and passes everything that is wrong on. */
    public static void check(SourceValue value, Shape shape, Consumer<Finding> findings) {
        new ShapeChecker(findings).check(value, shape);
    }

    private void check(SourceValue value, Shape shape) {
        switch (shape) {
            case Shape.Text text -> checkText(value, text);
            case Shape.Whole whole -> checkWhole(value, whole);
            case Shape.Decimal decimal -> checkDecimal(value, decimal);
            case Shape.Flag _ -> isKind(value, SourceKind.FLAG);
            case Shape.Choice choice -> checkChoice(value, choice);
            case Shape.ListOf list -> checkList(value, list);
            case Shape.Structure structure -> checkStructure(value, structure);
        }
    }

    private boolean isKind(SourceValue value, SourceKind expected) {
        if (value.is(expected)) {
            return true;
        }
        add(value, "expected " + expected.description() + ", found " + value.kind().description());
        return false;
    }

    private void add(SourceValue value, String message) {
        findings.accept(Finding.error(value.start(), value.path(), message));
    }

    private void checkText(SourceValue value, Shape.Text shape) {
        if (isKind(value, SourceKind.TEXT) && !Pattern.matches(shape.pattern(), value.text())) {
            add(value, "expected " + shape.description() + ", found \"" + value.text() + "\"");
        }
    }

    private void checkWhole(SourceValue value, Shape.Whole shape) {
        if (!isKind(value, SourceKind.WHOLE)) {
            return;
        }
        try {
            long number = Long.parseLong(value.text());
            if (number >= shape.min() && number <= shape.max()) {
                return;
            }
        } catch (NumberFormatException _) {
            // A literal that does not fit into 64 bits is out of bounds and reported below.
        }
        add(value, value.text() + " is not between " + shape.min() + " and " + shape.max());
    }

    private void checkDecimal(SourceValue value, Shape.Decimal shape) {
        if (!value.is(SourceKind.WHOLE) && !value.is(SourceKind.DECIMAL)) {
            add(value, "expected a number, found " + value.kind().description());
            return;
        }
        double number = Double.parseDouble(value.text());
        if (!(number > shape.above() && number <= shape.max())) {
            add(
                    value,
                    value.text()
                            + " is not above "
                            + shape.above()
                            + " and at most "
                            + shape.max());
        }
    }

    private void checkChoice(SourceValue value, Shape.Choice shape) {
        if (isKind(value, SourceKind.TEXT) && !shape.names().contains(value.text())) {
            String nearest =
                    NearestName.find(value.text(), shape.names())
                            .map(name -> "; the nearest is \"" + name + "\"")
                            .orElse("");
            add(
                    value,
                    "\""
                            + value.text()
                            + "\" is not one of "
                            + String.join(", ", shape.names())
                            + nearest);
        }
    }

    private void checkList(SourceValue value, Shape.ListOf shape) {
        if (isKind(value, SourceKind.ARRAY)) {
            value.elements().forEach(element -> check(element, shape.element()));
        }
    }

    private void checkStructure(SourceValue value, Shape.Structure shape) {
        if (!isKind(value, SourceKind.OBJECT)) {
            return;
        }
        for (SourceMember member : value.members()) {
            shape.field(member.name())
                    .ifPresentOrElse(
                            field -> check(member.value(), field.shape()),
                            () -> addUnknown(member, shape));
        }
        for (Field field : shape.fields()) {
            if (field.isRequired() && value.member(field.name()).isEmpty()) {
                add(value, "the field \"" + field.name() + "\" is missing");
            }
        }
    }

    private void addUnknown(SourceMember member, Shape.Structure shape) {
        String known =
                NearestName.find(member.name(), shape.names())
                        .map(name -> "the nearest known field is \"" + name + "\"")
                        .orElse("known fields are " + String.join(", ", shape.names()));
        findings.accept(
                Finding.error(
                        member.place(),
                        member.value().path(),
                        "unknown field \"" + member.name() + "\"; " + known));
    }
}
