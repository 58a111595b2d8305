package org.jujubefork.config.source;

/** How much a finding matters. */
public enum Severity {
    /** The text cannot be used. */
    ERROR,
    /** The text can be used, but is probably not what was meant. */
    WARNING
}
