package org.jujubefork.config.settings;

import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;
import org.jujubefork.config.source.Finding;

/** Thrown when a settings file is unreadable or invalid. Carries all findings. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<Finding> findings;

    /** Creates an exception whose message lists {@code findings}, one a line. */
    public InvalidSettingsException(Collection<Finding> findings) {
        super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
        this.findings = List.copyOf(findings);
    }

    /** Returns all findings in the order of their positions in the file. */
    public List<Finding> findings() {
        return findings;
    }
}
