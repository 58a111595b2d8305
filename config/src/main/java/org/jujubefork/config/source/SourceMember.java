package org.jujubefork.config.source;

/**
 * A member of an object.
 *
 * @param name the name
 * @param position where the name starts, at its quotation mark
 * @param value the value
 */
public record SourceMember(String name, SourcePosition position, SourceValue value) {}
