package org.jujubefork.config.schema;

import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.jujubefork.config.source.Finding;
import org.jujubefork.config.source.NearestName;
import org.jujubefork.config.source.SourceKind;
import org.jujubefork.config.source.SourceMember;
import org.jujubefork.config.source.SourceValue;

/** Validates a value against its declared type: kind, bounds, unknown and missing fields. */
public final class TypeChecker {
    private final Consumer<Finding> findings;

    private TypeChecker(Consumer<Finding> findings) {
        this.findings = findings;
    }

    /**
     * Validates {@code value} against {@code type} and passes each violation to {@code findings}.
     */
    public static void check(SourceValue value, ValueType type, Consumer<Finding> findings) {
        new TypeChecker(findings).check(value, type);
    }

    private void check(SourceValue value, ValueType type) {
        switch (type) {
            case ValueType.StringType stringType -> checkString(value, stringType);
            case ValueType.IntegerType integerType -> checkInteger(value, integerType);
            case ValueType.NumberType numberType -> checkNumber(value, numberType);
            case ValueType.BooleanType _ -> checkKind(value, SourceKind.BOOLEAN);
            case ValueType.EnumType enumType -> checkEnum(value, enumType);
            case ValueType.ListType listType -> checkList(value, listType);
            case ValueType.ObjectType objectType -> checkObject(value, objectType);
        }
    }

    private boolean checkKind(SourceValue value, SourceKind expected) {
        if (value.is(expected)) {
            return true;
        }
        addError(
                value,
                "expected " + expected.description() + ", found " + value.kind().description());
        return false;
    }

    private void addError(SourceValue value, String message) {
        findings.accept(Finding.error(value.start(), value.path(), message));
    }

    private void checkString(SourceValue value, ValueType.StringType type) {
        if (checkKind(value, SourceKind.STRING) && !Pattern.matches(type.pattern(), value.text())) {
            addError(value, "expected " + type.description() + ", found \"" + value.text() + "\"");
        }
    }

    private void checkInteger(SourceValue value, ValueType.IntegerType type) {
        if (!checkKind(value, SourceKind.INTEGER)) {
            return;
        }
        try {
            long number = Long.parseLong(value.text());
            if (number >= type.min() && number <= type.max()) {
                return;
            }
        } catch (NumberFormatException _) {
            // A literal that does not fit into 64 bits is reported below as out of bounds.
        }
        addError(value, value.text() + " is not between " + type.min() + " and " + type.max());
    }

    private void checkNumber(SourceValue value, ValueType.NumberType type) {
        if (!value.is(SourceKind.INTEGER) && !value.is(SourceKind.DECIMAL)) {
            addError(value, "expected a number, found " + value.kind().description());
            return;
        }
        double number = Double.parseDouble(value.text());
        if (!(number > type.exclusiveMin() && number <= type.max())) {
            addError(
                    value,
                    value.text()
                            + " is not above "
                            + type.exclusiveMin()
                            + " and at most "
                            + type.max());
        }
    }

    private void checkEnum(SourceValue value, ValueType.EnumType type) {
        if (checkKind(value, SourceKind.STRING) && !type.values().contains(value.text())) {
            String nearest =
                    NearestName.find(value.text(), type.values())
                            .map(name -> "; the nearest is \"" + name + "\"")
                            .orElse("");
            addError(
                    value,
                    "\""
                            + value.text()
                            + "\" is not one of "
                            + String.join(", ", type.values())
                            + nearest);
        }
    }

    private void checkList(SourceValue value, ValueType.ListType type) {
        if (checkKind(value, SourceKind.ARRAY)) {
            value.elements().forEach(element -> check(element, type.elementType()));
        }
    }

    private void checkObject(SourceValue value, ValueType.ObjectType type) {
        if (!checkKind(value, SourceKind.OBJECT)) {
            return;
        }
        for (SourceMember member : value.members()) {
            type.field(member.name())
                    .ifPresentOrElse(
                            field -> check(member.value(), field.type()),
                            () -> addUnknownField(member, type));
        }
        for (Field field : type.fields()) {
            if (field.isRequired() && value.member(field.name()).isEmpty()) {
                addError(value, "the field \"" + field.name() + "\" is missing");
            }
        }
    }

    private void addUnknownField(SourceMember member, ValueType.ObjectType type) {
        String known =
                NearestName.find(member.name(), type.fieldNames())
                        .map(name -> "the nearest known field is \"" + name + "\"")
                        .orElse("known fields are " + String.join(", ", type.fieldNames()));
        findings.accept(
                Finding.error(
                        member.position(),
                        member.value().path(),
                        "unknown field \"" + member.name() + "\"; " + known));
    }
}
