package org.jujubefork.ctl.operator;

import java.util.List;
import java.util.Locale;
import org.jujubefork.client.api.ChangeView;
import org.jujubefork.client.api.ConfigView;
import org.jujubefork.client.api.FindingView;
import org.jujubefork.config.cell.CellReadResult;
import org.jujubefork.config.cell.ConfigurationChange;
import org.jujubefork.config.cell.ConfigurationDocument;
import org.jujubefork.config.source.Finding;
import org.jujubefork.ctl.command.CommandException;
import org.jujubefork.ctl.command.Console;
import org.jujubefork.ctl.command.ExitCode;

/** Prints the findings of configuration checks, and configuration changes. */
final class ConfigurationReports {
    private ConfigurationReports() {}

    /** Prints findings as the result of a command. */
    static void printFindings(Console console, List<Finding> findings) {
        List<FindingView> views = findings.stream().map(ConfigurationReports::toView).toList();
        console.print(views, () -> views.forEach(view -> console.line(view.toString())));
    }

    /**
     * Prints findings to the error output, apart from the result of the command.
     *
     * @throws CommandException if a finding is an error
     */
    static void requireUsable(Console console, CellReadResult reading) throws CommandException {
        reading.findings().forEach(finding -> console.info(finding.toString()));
        if (!reading.isValid()) {
            throw new CommandException(ExitCode.FINDINGS, "the configuration has errors");
        }
    }

    /** Prints configuration changes as the result of a command. */
    static void printChanges(Console console, List<ConfigurationChange> changes) {
        List<ChangeView> views =
                changes.stream()
                        .map(
                                change ->
                                        new ChangeView(
                                                change.path(), change.before(), change.after()))
                        .toList();
        console.print(
                views,
                () -> {
                    changes.forEach(change -> console.line(change.toString()));
                    if (changes.isEmpty()) {
                        console.line("no changes");
                    }
                });
    }

    /** Converts the API view of a configuration to a document. */
    static ConfigurationDocument toDocument(ConfigView view) {
        return ConfigurationDocument.of(view.version(), view.base(), view.overlays());
    }

    private static FindingView toView(Finding finding) {
        return new FindingView(
                finding.severity().name().toLowerCase(Locale.ROOT),
                finding.file(),
                finding.line(),
                finding.column(),
                finding.path(),
                finding.message());
    }
}
