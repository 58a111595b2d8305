package org.jujubefork.config.source;

import java.util.List;
import java.util.Optional;

/**
 * The text of a settings file and the result of parsing it.
 *
 * @param file the file name for findings
 * @param text the unparsed text
 * @param root the top-level value; empty on syntax errors
 * @param findings syntax errors and duplicate field names
 */
public record SourceText(
        String file, String text, Optional<SourceValue> root, List<Finding> findings) {
    /** Copies the list. */
    public SourceText {
        findings = List.copyOf(findings);
    }
}
