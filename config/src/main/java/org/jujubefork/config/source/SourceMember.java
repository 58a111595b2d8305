package org.jujubefork.config.source;

/**
 * A member of an object.
 *
 * @param name the name
 * @param place where the name starts, at its quotation mark
 * @param value the value
 */
public record SourceMember(String name, SourcePlace place, SourceValue value) {}
