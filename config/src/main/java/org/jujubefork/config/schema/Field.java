package org.jujubefork.config.schema;

import java.util.Optional;

/**
 * The declaration of one setting, that is, of one field of a JSON object.
 *
 * @param name the field name in the settings file
 * @param type the type and bounds of its value
 * @param presence whether the setting is required
 * @param defaultValue the value of an omitted setting: a {@link Long}, {@link Boolean} or {@link
 *     String}; empty for required settings and for optional lists and objects
 * @param unit the unit of a number; empty if it has none
 * @param description what the setting does, in one or two sentences; printed in the reference
 */
public record Field(
        String name,
        ValueType type,
        Presence presence,
        Optional<Object> defaultValue,
        String unit,
        String description) {
    /** Whether a setting is required. */
    public enum Presence {
        /** Validation fails if the setting is missing. */
        REQUIRED,
        /** The setting may be omitted. */
        OPTIONAL
    }

    /** Returns a required setting; {@code unit} is empty if it has none. */
    public static Field required(String name, ValueType type, String unit, String description) {
        return new Field(name, type, Presence.REQUIRED, Optional.empty(), unit, description);
    }

    /** Returns an optional list or object, which is empty if omitted. */
    public static Field optional(String name, ValueType type, String description) {
        return new Field(name, type, Presence.OPTIONAL, Optional.empty(), "", description);
    }

    /** Returns an optional setting whose value is {@code defaultValue} if it is omitted. */
    public static Field withDefault(
            String name, ValueType type, Object defaultValue, String unit, String description) {
        return new Field(
                name, type, Presence.OPTIONAL, Optional.of(defaultValue), unit, description);
    }

    /** Returns whether validation fails if the setting is missing. */
    public boolean isRequired() {
        return presence == Presence.REQUIRED;
    }
}
