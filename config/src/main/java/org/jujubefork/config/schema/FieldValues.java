package org.jujubefork.config.schema;

import java.util.List;
import java.util.Optional;
import org.jujubefork.config.source.SourceValue;

/**
 * The values of an object that {@link ShapeChecker} found to be right, with the declared defaults
 * for settings that are left out.
 */
public final class FieldValues {
    private final Optional<SourceValue> value;
    private final Shape.Structure structure;

    private FieldValues(Optional<SourceValue> value, Shape.Structure structure) {
        this.value = value;
        this.structure = structure;
    }

    /**
     * Returns the values of {@code value}, or only defaults if it is empty.
     *
     * @param value a checked object of {@code structure}
     */
    public static FieldValues of(Optional<SourceValue> value, Shape.Structure structure) {
        return new FieldValues(value, structure);
    }

    /** Returns the value of the string {@code name}. */
    public String text(String name) {
        return given(name).map(SourceValue::text).orElseGet(() -> (String) defaultOf(name));
    }

    /** Returns the value of the whole number {@code name}. */
    public long whole(String name) {
        return given(name)
                .map(member -> Long.parseLong(member.text()))
                .orElseGet(() -> (Long) defaultOf(name));
    }

    /**
     * Returns the value of the whole number {@code name}, which is declared with bounds inside 32
     * bits.
     */
    public int wholeInt(String name) {
        return Math.toIntExact(whole(name));
    }

    /** Returns the value of the boolean {@code name}. */
    public boolean flag(String name) {
        return given(name)
                .map(member -> Boolean.parseBoolean(member.text()))
                .orElseGet(() -> (Boolean) defaultOf(name));
    }

    /** Returns the strings of the array {@code name}; none if it is left out. */
    public List<String> texts(String name) {
        return given(name).map(SourceValue::elements).orElse(List.of()).stream()
                .map(SourceValue::text)
                .toList();
    }

    /** Returns the value of {@code name} if it is given. */
    public Optional<SourceValue> given(String name) {
        return value.flatMap(object -> object.member(name));
    }

    private Object defaultOf(String name) {
        return structure
                .field(name)
                .flatMap(Field::defaultValue)
                .orElseThrow(
                        () -> new IllegalStateException("no value and no default for " + name));
    }
}
