package org.jujubefork.config.source;

import java.util.List;
import java.util.Optional;

/**
 * A JSON value with its position in the text.
 *
 * @param kind the JSON kind of the value
 * @param path the JSON path from the root {@code $}
 * @param start the position of its first character
 * @param endOffset the index of the first character after the value
 * @param text the decoded string, or the literal of a number, boolean or null; empty otherwise
 * @param members the members of an object in the order of the text, without later members of a
 *     duplicate name; empty otherwise
 * @param elements the elements of an array; empty otherwise
 */
public record SourceValue(
        SourceKind kind,
        String path,
        SourcePosition start,
        int endOffset,
        String text,
        List<SourceMember> members,
        List<SourceValue> elements) {
    /** Copies the lists. */
    public SourceValue {
        members = List.copyOf(members);
        elements = List.copyOf(elements);
    }

    /** Returns whether the value is of the kind {@code other}. */
    public boolean is(SourceKind other) {
        return kind == other;
    }

    /**
     * Returns the value of the member {@code name}; empty if it is missing or this is no object.
     */
    public Optional<SourceValue> member(String name) {
        return members.stream()
                .filter(member -> member.name().equals(name))
                .map(SourceMember::value)
                .findFirst();
    }

    /** Returns the string in the member {@code name}; empty if it is missing or no string. */
    public Optional<String> stringMember(String name) {
        return member(name).filter(value -> value.is(SourceKind.STRING)).map(SourceValue::text);
    }

    /** Returns the elements of the array {@code name}; empty if it is missing or no array. */
    public List<SourceValue> elementsOfMember(String name) {
        return member(name).map(SourceValue::elements).orElse(List.of());
    }
}
