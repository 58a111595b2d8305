package org.jujubefork.config.schema;

import java.util.List;
import java.util.Optional;

/** What a value in a settings file may look like. */
public sealed interface Shape {
    /**
     * A string.
     *
     * @param pattern the regular expression that the whole string matches
     * @param description what the string is, with its article, for messages
     */
    record Text(String pattern, String description) implements Shape {}

    /**
     * A whole number.
     *
     * @param min the smallest allowed value
     * @param max the largest allowed value
     */
    record Whole(long min, long max) implements Shape {}

    /**
     * A number above a bound.
     *
     * @param above the value must be larger than this
     * @param max the largest allowed value
     */
    record Decimal(double above, double max) implements Shape {}

    /** A boolean. */
    record Flag() implements Shape {}

    /**
     * A string out of a list.
     *
     * @param names the allowed strings
     */
    record Choice(List<String> names) implements Shape {
        /** Copies the names. */
        public Choice {
            names = List.copyOf(names);
        }
    }

    /**
     * An array.
     *
     * @param element the shape of each element
     */
    record ListOf(Shape element) implements Shape {}

    /**
     * An object.
     *
     * @param fields the known fields, in the order of the reference
     */
    record Structure(List<Field> fields) implements Shape {
        /** Copies the fields. */
        public Structure {
            fields = List.copyOf(fields);
        }

        /** Returns a structure of {@code fields}. */
        public static Structure of(Field... fields) {
            return new Structure(List.of(fields));
        }

        /** Returns the names of all fields. */
        public List<String> names() {
            return fields.stream().map(Field::name).toList();
        }

        /** Returns the field {@code name}, if it is known. */
        public Optional<Field> field(String name) {
            return fields.stream().filter(field -> field.name().equals(name)).findFirst();
        }
    }
}
