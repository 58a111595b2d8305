package org.jujubefork.config.source;

/**
 * A member of a JSON object, with its position.
 *
 * @param name the field name
 * @param position the position of the opening quotation mark of the name
 * @param value the parsed value
 */
public record SourceMember(String name, SourcePosition position, SourceValue value) {}
