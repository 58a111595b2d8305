package org.jujubefork.config.schema;

import java.util.List;
import java.util.Optional;
import org.jujubefork.config.source.SourceValue;

/**
 * The values of objects that {@link TypeChecker} found to be right: the first layer that gives a
 * setting wins, and the declared default applies where no layer gives it.
 */
public final class FieldValues {
    private final List<SourceValue> layers;
    private final ValueType.ObjectType objectType;

    private FieldValues(List<SourceValue> layers, ValueType.ObjectType objectType) {
        this.layers = layers;
        this.objectType = objectType;
    }

    /**
     * Returns the values of {@code layers}, or only defaults if there is none.
     *
     * @param layers checked objects of {@code objectType}, the one that wins first
     */
    public static FieldValues of(List<SourceValue> layers, ValueType.ObjectType objectType) {
        return new FieldValues(List.copyOf(layers), objectType);
    }

    /** Returns the values of the object {@code name}, merged over all layers. */
    public FieldValues objectValue(String name) {
        ValueType type =
                objectType
                        .field(name)
                        .orElseThrow(() -> new IllegalArgumentException("unknown field: " + name))
                        .type();
        return of(
                layers.stream().flatMap(layer -> layer.member(name).stream()).toList(),
                (ValueType.ObjectType) type);
    }

    /** Returns the value of the string {@code name}. */
    public String stringValue(String name) {
        return explicitValue(name)
                .map(SourceValue::text)
                .orElseGet(() -> (String) defaultValue(name));
    }

    /** Returns the value of the whole number {@code name}. */
    public long longValue(String name) {
        return explicitValue(name)
                .map(member -> Long.parseLong(member.text()))
                .orElseGet(() -> (Long) defaultValue(name));
    }

    /**
     * Returns the value of the whole number {@code name}, which is declared with bounds inside 32
     * bits.
     */
    public int intValue(String name) {
        return Math.toIntExact(longValue(name));
    }

    /** Returns the value of the number {@code name}, which is declared as required. */
    public double doubleValue(String name) {
        return explicitValue(name)
                .map(member -> Double.parseDouble(member.text()))
                .orElseThrow(() -> new IllegalStateException("no value for " + name));
    }

    /** Returns the value of the boolean {@code name}. */
    public boolean booleanValue(String name) {
        return explicitValue(name)
                .map(member -> Boolean.parseBoolean(member.text()))
                .orElseGet(() -> (Boolean) defaultValue(name));
    }

    /** Returns the strings of the array {@code name}; none if it is left out. */
    public List<String> stringValues(String name) {
        return explicitValue(name).map(SourceValue::elements).orElse(List.of()).stream()
                .map(SourceValue::text)
                .toList();
    }

    /** Returns the values of each object in the array {@code name}; none if it is left out. */
    public List<FieldValues> objectValues(String name) {
        ValueType.ListType listType =
                (ValueType.ListType) objectType.field(name).orElseThrow().type();
        return explicitValue(name).map(SourceValue::elements).orElse(List.of()).stream()
                .map(element -> of(List.of(element), (ValueType.ObjectType) listType.elementType()))
                .toList();
    }

    /** Returns the value of {@code name} in the first layer that gives it. */
    public Optional<SourceValue> explicitValue(String name) {
        return layers.stream().flatMap(layer -> layer.member(name).stream()).findFirst();
    }

    private Object defaultValue(String name) {
        return objectType
                .field(name)
                .flatMap(Field::defaultValue)
                .orElseThrow(
                        () -> new IllegalStateException("no value and no default for " + name));
    }
}
