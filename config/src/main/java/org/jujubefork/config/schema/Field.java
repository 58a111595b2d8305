package org.jujubefork.config.schema;

import java.util.Optional;

/**
 * The declaration of one setting.
 *
 * @param name the name in the file
 * @param type what its value may look like
 * @param presence whether the setting may be left out
 * @param defaultValue the value that applies where the setting is left out; a {@link Long}, {@link
 *     Boolean} or {@link String}; empty for required settings and for optional lists and objects
 * @param unit the unit of a number, empty if it has none
 * @param description what the setting does, one or two sentences
 */
public record Field(
        String name,
        ValueType type,
        Presence presence,
        Optional<Object> defaultValue,
        String unit,
        String description) {
    /** Whether a setting may be left out. */
    public enum Presence {
        /** The setting must be given. */
        REQUIRED,
        /** The setting may be left out. */
        OPTIONAL
    }

    /** Returns a setting that must be given. */
    public static Field required(String name, ValueType type, String unit, String description) {
        return new Field(name, type, Presence.REQUIRED, Optional.empty(), unit, description);
    }

    /** Returns a list or object that may be left out. */
    public static Field optional(String name, ValueType type, String description) {
        return new Field(name, type, Presence.OPTIONAL, Optional.empty(), "", description);
    }

    /** Returns a setting that has the value {@code defaultValue} where it is left out. */
    public static Field withDefault(
            String name, ValueType type, Object defaultValue, String unit, String description) {
        return new Field(
                name, type, Presence.OPTIONAL, Optional.of(defaultValue), unit, description);
    }

    /** Returns whether the setting must be given. */
    public boolean isRequired() {
        return presence == Presence.REQUIRED;
    }
}
