package org.jujubefork.config.source;

import java.util.List;
import java.util.Optional;

/**
 * A parsed text.
 *
 * @param file the name by which findings refer to the text
 * @param text the text
 * @param root the value; empty if the syntax is wrong
 * @param findings syntax errors and repeated names
 */
public record SourceText(
        String file, String text, Optional<SourceValue> root, List<Finding> findings) {
    /** Copies the findings. */
    public SourceText {
        findings = List.copyOf(findings);
    }
}
