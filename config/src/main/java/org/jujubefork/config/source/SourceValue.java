package org.jujubefork.config.source;

import java.util.List;
import java.util.Optional;

/**
 * A JSON value with its place in the text.
 *
 * @param kind the kind of value
 * @param path the JSON path from the root {@code $}
 * @param start where the value starts
 * @param endOffset the index of the first character after the value
 * @param text the decoded string, or the literal of a number, boolean or null; empty otherwise
 * @param members the members of an object in the order of the text, a repeated name only once;
 *     empty otherwise
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

    /** Returns whether the value is of {@code other} kind. */
    public boolean is(SourceKind other) {
        return kind == other;
    }

    /** Returns the value of the member {@code name}, if this is an object that has it. */
    public Optional<SourceValue> member(String name) {
        return members.stream()
                .filter(member -> member.name().equals(name))
                .map(SourceMember::value)
                .findFirst();
    }

    /** Returns the string of the member {@code name}, if there is one and it is a string. */
    public Optional<String> stringMember(String name) {
        return member(name).filter(value -> value.is(SourceKind.STRING)).map(SourceValue::text);
    }

    /** Returns the elements of the member {@code name}; none if it is missing or no array. */
    public List<SourceValue> elementsOfMember(String name) {
        return member(name).map(SourceValue::elements).orElse(List.of());
    }
}
