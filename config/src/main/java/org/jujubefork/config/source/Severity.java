package org.jujubefork.config.source;

/** The severity of a {@link Finding}. */
public enum Severity {
    /** The settings are rejected. */
    ERROR,
    /** The settings are accepted, but probably contain a mistake. */
    WARNING
}
