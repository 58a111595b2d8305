package org.jujubefork.config.schema;

import java.util.List;
import java.util.Optional;

/** The type and bounds of a value in a settings file. */
public sealed interface ValueType {
    /**
     * A string.
     *
     * @param pattern the regular expression that the whole string must match
     * @param description what the string is, with its article, for error messages
     */
    record StringType(String pattern, String description) implements ValueType {}

    /**
     * A whole number of at most 64 bits.
     *
     * @param min the smallest allowed value
     * @param max the largest allowed value
     */
    record IntegerType(long min, long max) implements ValueType {}

    /**
     * A number with or without a fraction.
     *
     * @param exclusiveMin the lower bound; the value must be greater than it
     * @param max the largest allowed value
     */
    record NumberType(double exclusiveMin, double max) implements ValueType {}

    /** A boolean. */
    record BooleanType() implements ValueType {}

    /**
     * A string from a fixed set.
     *
     * @param values the allowed strings
     */
    record EnumType(List<String> values) implements ValueType {
        /** Copies the list. */
        public EnumType {
            values = List.copyOf(values);
        }
    }

    /**
     * An array.
     *
     * @param elementType the type of each element
     */
    record ListType(ValueType elementType) implements ValueType {}

    /**
     * An object.
     *
     * @param fields the allowed fields, in the order in which the reference lists them
     */
    record ObjectType(List<Field> fields) implements ValueType {
        /** Copies the list. */
        public ObjectType {
            fields = List.copyOf(fields);
        }

        /** Returns an object type with {@code fields}. */
        public static ObjectType of(Field... fields) {
            return new ObjectType(List.of(fields));
        }

        /** Returns the field names in the order of declaration. */
        public List<String> fieldNames() {
            return fields.stream().map(Field::name).toList();
        }

        /** Returns the declaration of field {@code name}; empty if it is not declared. */
        public Optional<Field> field(String name) {
            return fields.stream().filter(field -> field.name().equals(name)).findFirst();
        }
    }
}
