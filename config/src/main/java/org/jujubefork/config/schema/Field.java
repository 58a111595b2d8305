package org.jujubefork.config.schema;

import java.util.Optional;

/**
 * The declaration of one setting.
 *
 * @param name the name in the file
 * @param shape what its value may look like
 * @param presence whether the setting may be left out
 * @param defaultValue the value that applies where the setting is left out; a {@link Long}, {@link
 *     Boolean} or {@link String}; empty for required settings and for optional lists and objects
 * @param unit the unit of a number, empty if it has none
 * @param effect what the setting does, one or two sentences
 */
public record Field(
        String name,
        Shape shape,
        Presence presence,
        Optional<Object> defaultValue,
        String unit,
        String effect) {
    /** Whether a setting may be left out. */
    public enum Presence {
        /** The setting must be given. */
        REQUIRED,
        /** The setting may be left out. */
        OPTIONAL
    }

    /** Returns a setting that must be given. */
    public static Field required(String name, Shape shape, String unit, String effect) {
        return new Field(name, shape, Presence.REQUIRED, Optional.empty(), unit, effect);
    }

    /** Returns a list or object that may be left out. */
    public static Field optional(String name, Shape shape, String effect) {
        return new Field(name, shape, Presence.OPTIONAL, Optional.empty(), "", effect);
    }

    /** Returns a setting that has the value {@code defaultValue} where it is left out. */
    public static Field withDefault(
            String name, Shape shape, Object defaultValue, String unit, String effect) {
        return new Field(name, shape, Presence.OPTIONAL, Optional.of(defaultValue), unit, effect);
    }

    /** Returns whether the setting must be given. */
    public boolean isRequired() {
        return presence == Presence.REQUIRED;
    }
}
