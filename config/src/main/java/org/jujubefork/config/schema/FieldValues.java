package org.jujubefork.config.schema;

import java.util.List;
import java.util.Optional;
import org.jujubefork.config.source.SourceValue;

/**
 * The values of objects that {@link ShapeChecker} found to be right: the first layer that gives a
 * setting wins, and the declared default applies where no layer gives it.
 */
public final class FieldValues {
    private final List<SourceValue> layers;
    private final Shape.Structure structure;

    private FieldValues(List<SourceValue> layers, Shape.Structure structure) {
        this.layers = layers;
        this.structure = structure;
    }

    /**
     * Returns the values of {@code layers}, or only defaults if there is none.
     *
     * @param layers checked objects of {@code structure}, the one that wins first
     */
    public static FieldValues of(List<SourceValue> layers, Shape.Structure structure) {
        return new FieldValues(List.copyOf(layers), structure);
    }

    /** Returns the values of the object {@code name}, merged over all layers. */
    public FieldValues section(String name) {
        Shape shape =
                structure
                        .field(name)
                        .orElseThrow(() -> new IllegalArgumentException("unknown field: " + name))
                        .shape();
        return of(
                layers.stream().flatMap(layer -> layer.member(name).stream()).toList(),
                (Shape.Structure) shape);
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

    /** Returns the value of the number {@code name}, which is declared as required. */
    public double decimal(String name) {
        return given(name)
                .map(member -> Double.parseDouble(member.text()))
                .orElseThrow(() -> new IllegalStateException("no value for " + name));
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

    /** Returns the values of each object in the array {@code name}; none if it is left out. */
    public List<FieldValues> structures(String name) {
        Shape.ListOf list = (Shape.ListOf) structure.field(name).orElseThrow().shape();
        return given(name).map(SourceValue::elements).orElse(List.of()).stream()
                .map(element -> of(List.of(element), (Shape.Structure) list.element()))
                .toList();
    }

    /** Returns the value of {@code name} in the first layer that gives it. */
    public Optional<SourceValue> given(String name) {
        return layers.stream().flatMap(layer -> layer.member(name).stream()).findFirst();
    }

    private Object defaultOf(String name) {
        return structure
                .field(name)
                .flatMap(Field::defaultValue)
                .orElseThrow(
                        () -> new IllegalStateException("no value and no default for " + name));
    }
}
