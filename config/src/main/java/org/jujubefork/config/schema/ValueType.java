package org.jujubefork.config.schema;

import java.util.List;
import java.util.Optional;

/** What a value in a settings file may look like. */
public sealed interface ValueType {
    /**
     * A string.
     *
     * @param pattern the regular expression that the whole string matches
     * @param description what the string is, with its article, for messages
     */
    record StringType(String pattern, String description) implements ValueType {}

    /**
     * A whole number.
     *
     * @param min the smallest allowed value
     * @param max the largest allowed value
     */
    record IntegerType(long min, long max) implements ValueType {}

    /**
     * A number above a bound.
     *
     * @param exclusiveMin the value must be larger than this
     * @param max the largest allowed value
     */
    record NumberType(double exclusiveMin, double max) implements ValueType {}

    /** A boolean. */
    record BooleanType() implements ValueType {}

    /**
     * A string out of a list.
     *
     * @param values the allowed strings
     */
    record EnumType(List<String> values) implements ValueType {
        /** Copies the names. */
        public EnumType {
            values = List.copyOf(values);
        }
    }

    /**
     * An array.
     *
     * @param elementType the shape of each element
     */
    record ListType(ValueType elementType) implements ValueType {}

    /**
     * An object.
     *
     * @param fields the known fields, in the order of the reference
     */
    record ObjectType(List<Field> fields) implements ValueType {
        /** Copies the fields. */
        public ObjectType {
            fields = List.copyOf(fields);
        }

        /** Returns a structure of {@code fields}. */
        public static ObjectType of(Field... fields) {
            return new ObjectType(List.of(fields));
        }

        /** Returns the names of all fields. */
        public List<String> fieldNames() {
            return fields.stream().map(Field::name).toList();
        }

        /** Returns the field {@code name}, if it is known. */
        public Optional<Field> field(String name) {
            return fields.stream().filter(field -> field.name().equals(name)).findFirst();
        }
    }
}
