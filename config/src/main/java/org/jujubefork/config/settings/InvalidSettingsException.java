package org.jujubefork.config.settings;

import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import org.jujubefork.config.source.Finding;

/** A settings file cannot be used. Carries everything that is wrong with it. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<Finding> findings;

    /** Creates an exception that carries {@code findings}. */
    public InvalidSettingsException(Collection<Finding> findings) {
        super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
        this.findings = List.copyOf(findings);
    }

    /** Returns all findings in the order of the text. */
    public List<Finding> findings() {
        return findings;
    }
}
