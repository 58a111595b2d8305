package org.jujubefork.config.schema;

import java.util.List;
import java.util.Optional;
import org.jujubefork.config.source.SourceValue;

/**
 * Typed access to the fields of a JSON object that {@link TypeChecker} has validated. The object
 * may be layered, such as an overlay over a base: the first layer that contains a field wins, and
 * the declared default applies if no layer contains it.
 */
public final class FieldValues {
    private final List<SourceValue> layers;
    private final ValueType.ObjectType objectType;

    private FieldValues(List<SourceValue> layers, ValueType.ObjectType objectType) {
        this.layers = layers;
        this.objectType = objectType;
    }

    /**
     * Returns the merged values of {@code layers}; only defaults if {@code layers} is empty.
     *
     * @param layers validated objects of {@code objectType}, highest precedence first
     */
    public static FieldValues of(List<SourceValue> layers, ValueType.ObjectType objectType) {
        return new FieldValues(List.copyOf(layers), objectType);
    }

    /** Returns the values of the nested object {@code name}, merged over all layers. */
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

    /** Returns the value of the string field {@code name}, or its default. */
    public String stringValue(String name) {
        return explicitValue(name)
                .map(SourceValue::text)
                .orElseGet(() -> (String) defaultValue(name));
    }

    /** Returns the value of the integer field {@code name}, or its default. */
    public long longValue(String name) {
        return explicitValue(name)
                .map(member -> Long.parseLong(member.text()))
                .orElseGet(() -> (Long) defaultValue(name));
    }

    /**
     * Returns the value of the integer field {@code name}, or its default.
     *
     * @throws ArithmeticException if the value exceeds 32 bits; the declared bounds must prevent it
     */
    public int intValue(String name) {
        return Math.toIntExact(longValue(name));
    }

    /** Returns the value of the number field {@code name}, which must be a required one. */
    public double doubleValue(String name) {
        return explicitValue(name)
                .map(member -> Double.parseDouble(member.text()))
                .orElseThrow(() -> new IllegalStateException("no value for " + name));
    }

    /** Returns the value of the boolean field {@code name}, or its default. */
    public boolean booleanValue(String name) {
        return explicitValue(name)
                .map(member -> Boolean.parseBoolean(member.text()))
                .orElseGet(() -> (Boolean) defaultValue(name));
    }

    /** Returns the strings of the array field {@code name}; empty if it is omitted. */
    public List<String> stringValues(String name) {
        return explicitValue(name).map(SourceValue::elements).orElse(List.of()).stream()
                .map(SourceValue::text)
                .toList();
    }

    /** Returns the values of each object in the array {@code name}; empty if it is omitted. */
    public List<FieldValues> objectValues(String name) {
        ValueType.ListType listType =
                (ValueType.ListType) objectType.field(name).orElseThrow().type();
        return explicitValue(name).map(SourceValue::elements).orElse(List.of()).stream()
                .map(element -> of(List.of(element), (ValueType.ObjectType) listType.elementType()))
                .toList();
    }

    /** Returns the value of {@code name} in the first layer that contains it, without defaults. */
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
