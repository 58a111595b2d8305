package org.jujubefork.ctl.operator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.ApplyResult;
import org.jujubefork.client.api.ConfigApply;
import org.jujubefork.client.api.ConfigView;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.NotReachableException;
import org.jujubefork.config.cell.CellReadResult;
import org.jujubefork.config.cell.CellReader;
import org.jujubefork.config.cell.ConfigurationDiff;
import org.jujubefork.config.cell.ConfigurationDocument;
import org.jujubefork.config.cell.PolicyNames;
import org.jujubefork.config.settings.DaemonSettingsReader;
import org.jujubefork.config.settings.InvalidSettingsException;
import org.jujubefork.config.source.Finding;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.ctl.command.CommandException;
import org.jujubefork.ctl.command.CommandSpec;
import org.jujubefork.ctl.command.Console;
import org.jujubefork.ctl.command.ExitCode;
import org.jujubefork.ctl.command.Invocation;
import org.jujubefork.ctl.command.OptionSpecs;

/** The commands {@code config ...}, which check, show and change the configuration. */
final class ConfigCommands {
    private static final String DAEMON = "daemon";
    private static final String SITE = "site";
    private static final String DRY_RUN = "dry-run";

    private ConfigCommands() {}

    static List<CommandSpec> specs() {
        return List.of(
                CommandSpec.of(
                        "config check",
                        List.of(),
                        "Checks configuration files and settings of daemons without a cell.",
                        ConfigCommands::check,
                        ConfigFiles.DIR_OPTION,
                        ConfigFiles.BASE_OPTION,
                        ConfigFiles.OVERLAY_OPTION,
                        OptionSpecs.repeatable(
                                DAEMON, "FILE", "settings of a daemon to check too")),
                CommandSpec.of(
                        "config show",
                        List.of(),
                        "Shows the merged configuration of a site, from files or from the cell.",
                        ConfigCommands::show,
                        ConfigFiles.DIR_OPTION,
                        ConfigFiles.BASE_OPTION,
                        ConfigFiles.OVERLAY_OPTION,
                        OptionSpecs.value(SITE, "SITE", "the site")),
                CommandSpec.of(
                        "config diff",
                        List.of(),
                        "Lists the differences between files and the configuration in force.",
                        ConfigCommands::diff,
                        ConfigFiles.DIR_OPTION,
                        ConfigFiles.BASE_OPTION,
                        ConfigFiles.OVERLAY_OPTION),
                CommandSpec.of(
                        "config apply",
                        List.of(),
                        "Applies files if the configuration still has the version that they are based on.",
                        ConfigCommands::apply,
                        ConfigFiles.DIR_OPTION,
                        ConfigFiles.BASE_OPTION,
                        ConfigFiles.OVERLAY_OPTION,
                        OptionSpecs.value(
                                "if-version",
                                "N",
                                "the version the files are based on (default: that of config get)"),
                        OptionSpecs.flag(DRY_RUN, "only list the changes")),
                CommandSpec.of(
                        "config get",
                        List.of(),
                        "Gets the configuration in force, into a folder with --dir.",
                        ConfigCommands::get,
                        ConfigFiles.DIR_OPTION));
    }

    private static ExitCode check(Invocation invocation) throws CommandException {
        List<Finding> findings = new ArrayList<>();
        List<String> daemons = invocation.options(DAEMON);
        if (ConfigFiles.areGiven(invocation) || daemons.isEmpty()) {
            findings.addAll(ConfigFiles.read(invocation).findings());
        }
        for (String daemon : daemons) {
            try {
                DaemonSettingsReader.read(Path.of(daemon));
            } catch (InvalidSettingsException e) {
                findings.addAll(e.findings());
            }
        }
        ConfigurationReports.printFindings(invocation.console(), findings);
        return Finding.anyError(findings) ? ExitCode.FINDINGS : ExitCode.OK;
    }

    private static ExitCode show(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        CellReadResult reading;
        if (ConfigFiles.areGiven(invocation)) {
            reading = ConfigFiles.read(invocation);
        } else {
            try (ApiClient client = invocation.connect()) {
                reading =
                        CellReader.of(PolicyNames.BUILT_IN)
                                .read(ConfigurationReports.toDocument(client.configuration()));
            }
        }
        ConfigurationReports.requireUsable(invocation.console(), reading);
        String site = invocation.requiredOption(SITE);
        Configuration configuration =
                reading.configuration(site)
                        .orElseThrow(
                                () ->
                                        CommandException.usage(
                                                "the base does not list the site " + site));
        ConfigurationPrinter.print(invocation.console(), configuration);
        return ExitCode.OK;
    }

    private static ExitCode diff(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        CellReadResult reading = ConfigFiles.read(invocation);
        try (ApiClient client = invocation.connect()) {
            printDiff(invocation.console(), client.configuration(), reading.document());
        }
        return ExitCode.OK;
    }

    private static ExitCode apply(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        CellReadResult reading = ConfigFiles.read(invocation);
        ConfigurationReports.requireUsable(invocation.console(), reading);
        ConfigurationDocument document = reading.document();
        try (ApiClient client = invocation.connect()) {
            if (invocation.hasOption(DRY_RUN)) {
                printDiff(invocation.console(), client.configuration(), document);
                return ExitCode.OK;
            }
            long version =
                    ConfigFiles.expectedVersion(invocation)
                            .orElseThrow(
                                    () ->
                                            CommandException.usage(
                                                    "give --if-version, or get the files with"
                                                            + " config get --dir"));
            ApplyResult result = client.apply(applyRequest(version, document));
            Optional<String> dir = invocation.option(ConfigFiles.DIR_OPTION.getLongOpt());
            if (dir.isPresent()) {
                ConfigFiles.writeVersion(Path.of(dir.get()), result.version());
            }
            return printResult(invocation.console(), result);
        }
    }

    private static ExitCode get(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        Console console = invocation.console();
        try (ApiClient client = invocation.connect()) {
            ConfigView view = client.configuration();
            Optional<String> dir = invocation.option(ConfigFiles.DIR_OPTION.getLongOpt());
            if (dir.isPresent()) {
                ConfigFiles.write(Path.of(dir.get()), view);
            }
            console.print(
                    view,
                    () -> {
                        console.line("version " + view.version());
                        if (dir.isEmpty()) {
                            console.line(view.base());
                            new TreeMap<>(view.overlays())
                                    .forEach(
                                            (site, text) ->
                                                    console.line("overlay " + site + "\n" + text));
                        }
                    });
        }
        return ExitCode.OK;
    }

    private static void printDiff(
            Console console, ConfigView inForce, ConfigurationDocument document) {
        ConfigurationReports.printChanges(
                console, ConfigurationDiff.of(ConfigurationReports.toDocument(inForce), document));
    }

    /** Returns the request that applies {@code document} if the cell has {@code ifVersion}. */
    static ConfigApply applyRequest(long ifVersion, ConfigurationDocument document) {
        return new ConfigApply(ifVersion, document.base(), document.overlays());
    }

    /** Prints the result of a configuration change and returns the exit code. */
    static ExitCode printResult(Console console, ApplyResult result) {
        console.print(
                result,
                () -> {
                    console.line(
                            "version " + result.version() + " in force on " + result.inForceOn());
                    if (!result.pending().isEmpty()) {
                        console.line("pending on " + result.pending());
                    }
                });
        if (result.status() == ApplyResult.Status.ACCEPTED) {
            return ExitCode.OK;
        }
        console.error(
                "the store has version "
                        + result.version()
                        + ", but no majority of entries confirmed it in time; see status");
        return ExitCode.FAILED;
    }
}
