package org.jujubefork.ctl.operator;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.ApplyResult;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.NotReachableException;
import org.jujubefork.config.cell.CellReadResult;
import org.jujubefork.config.cell.CellReader;
import org.jujubefork.config.cell.ConfigurationDocument;
import org.jujubefork.config.cell.PolicyNames;
import org.jujubefork.config.edit.AccessKeys;
import org.jujubefork.config.edit.BaseEditor;
import org.jujubefork.config.edit.EditException;
import org.jujubefork.config.edit.TeamEdit;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.ctl.command.CommandException;
import org.jujubefork.ctl.command.CommandSpec;
import org.jujubefork.ctl.command.Console;
import org.jujubefork.ctl.command.ExitCode;
import org.jujubefork.ctl.command.Invocation;
import org.jujubefork.ctl.command.OptionSpecs;

/** The commands {@code key ...} and {@code team ...}, which edit the cell's base file. */
final class KeyAndTeamCommands {
    /** Attempts to apply an edit; one fails when another operator's change came first. */
    private static final int MAX_ATTEMPTS = 5;

    private static final String TEAM = "team";
    private static final String OPERATOR = "operator";
    private static final String WEIGHT = "weight";
    private static final String CPU_MILLIS = "cpu-millis";
    private static final String MEMORY_MB = "memory-mb";
    private static final String ACCELERATORS = "accelerators";
    private static final long MAX_RESOURCE_AMOUNT = 10_000_000_000L;

    /** An edit of the text of the base file. */
    @FunctionalInterface
    private interface BaseTextEdit {
        String apply(String base) throws EditException;
    }

    private KeyAndTeamCommands() {}

    static List<CommandSpec> specs() {
        return List.of(
                CommandSpec.of(
                        "key create",
                        List.of("ID"),
                        "Grants a new access key and prints it once. Only its hash is kept.",
                        KeyAndTeamCommands::createKey,
                        OptionSpecs.value(TEAM, "TEAM", "the team that the key belongs to"),
                        OptionSpecs.flag(OPERATOR, "create an operator's key")),
                CommandSpec.of(
                        "key withdraw",
                        List.of("ID"),
                        "Withdraws an access key.",
                        KeyAndTeamCommands::withdrawKey),
                CommandSpec.of(
                        "key list",
                        List.of(),
                        "Lists the access keys.",
                        KeyAndTeamCommands::listKeys),
                CommandSpec.of(
                        "team set",
                        List.of("TEAM"),
                        "Adds a team or changes its share or upper limit.",
                        KeyAndTeamCommands::setTeam,
                        OptionSpecs.value(WEIGHT, "N", "share relative to other teams, above 0"),
                        OptionSpecs.value(CPU_MILLIS, "N", "upper limit in thousandths of a core"),
                        OptionSpecs.value(MEMORY_MB, "N", "upper limit in MiB"),
                        OptionSpecs.value(ACCELERATORS, "N", "upper limit of accelerators")),
                CommandSpec.of(
                        "team list",
                        List.of(),
                        "Lists the teams with shares and limits.",
                        KeyAndTeamCommands::listTeams));
    }

    private static ExitCode createKey(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        String id = invocation.arguments().getFirst();
        Optional<String> team = invocation.option(TEAM);
        if (team.isPresent() == invocation.hasOption(OPERATOR)) {
            throw CommandException.usage("give either --team or --operator");
        }
        String key = AccessKeys.generate(invocation.random());
        String hash = AccessKeys.hash(key);
        BaseTextEdit edit =
                team.<BaseTextEdit>map(name -> base -> BaseEditor.addKey(base, id, name, hash))
                        .orElse(base -> BaseEditor.addOperator(base, id, hash));
        ApplyResult result = applyEdit(invocation, edit);
        // An unconfirmed change may still take effect, so its key is printed too.
        Console console = invocation.console();
        console.print(new CreatedKey(id, key, result), () -> console.line(key));
        return reportResult(console, result);
    }

    /**
     * The JSON output of {@code key create}.
     *
     * @param id the identifier for {@code key withdraw}
     * @param key the secret key
     * @param result the version of the change and the entries that confirmed it
     */
    private record CreatedKey(String id, String key, ApplyResult result) {}

    private static ExitCode reportResult(Console console, ApplyResult result) {
        console.info("version " + result.version() + " in force on " + result.inForceOn());
        if (result.status() == ApplyResult.Status.ACCEPTED) {
            return ExitCode.OK;
        }
        console.error("no majority of entries confirmed the change in time; see status");
        return ExitCode.FAILED;
    }

    private static ExitCode withdrawKey(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        String id = invocation.arguments().getFirst();
        return ConfigCommands.printResult(
                invocation.console(),
                applyEdit(invocation, base -> BaseEditor.withdrawKey(base, id)));
    }

    private static ExitCode setTeam(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        TeamEdit edit =
                new TeamEdit(
                        invocation.arguments().getFirst(),
                        weight(invocation),
                        resourceLimit(invocation, CPU_MILLIS),
                        resourceLimit(invocation, MEMORY_MB),
                        resourceLimit(invocation, ACCELERATORS));
        return ConfigCommands.printResult(
                invocation.console(),
                applyEdit(invocation, base -> BaseEditor.setTeam(base, edit)));
    }

    private static OptionalDouble weight(Invocation invocation) throws CommandException {
        Optional<String> text = invocation.option(WEIGHT);
        if (text.isEmpty()) {
            return OptionalDouble.empty();
        }
        try {
            double weight = Double.parseDouble(text.get());
            if (weight > 0 && Double.isFinite(weight)) {
                return OptionalDouble.of(weight);
            }
        } catch (NumberFormatException _) {
            // Falls through to the error below, as a number out of range does.
        }
        throw CommandException.usage("--weight must be a number above 0: " + text.get());
    }

    private static OptionalLong resourceLimit(Invocation invocation, String option)
            throws CommandException {
        return invocation
                .integerOption(option, 0, MAX_RESOURCE_AMOUNT)
                .map(OptionalLong::of)
                .orElse(OptionalLong.empty());
    }

    private static ExitCode listKeys(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        List<ConfigurationPrinter.KeyRow> keys =
                ConfigurationPrinter.keys(configurationInForce(invocation));
        Console console = invocation.console();
        console.print(keys, () -> ConfigurationPrinter.printKeys(console, keys));
        return ExitCode.OK;
    }

    private static ExitCode listTeams(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        Configuration configuration = configurationInForce(invocation);
        Console console = invocation.console();
        console.print(
                ConfigurationPrinter.teams(configuration),
                () -> ConfigurationPrinter.printTeams(console, configuration));
        return ExitCode.OK;
    }

    /** Returns the configuration of an arbitrary site; teams and keys are equal on all sites. */
    private static Configuration configurationInForce(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        try (ApiClient client = invocation.connect()) {
            CellReadResult reading = read(ConfigurationReports.toDocument(client.configuration()));
            ConfigurationReports.requireUsable(invocation.console(), reading);
            return reading.configurations().values().iterator().next();
        }
    }

    /**
     * Applies an edit to the base text in force. After a version conflict, the edit is repeated on
     * the new text.
     */
    private static ApplyResult applyEdit(Invocation invocation, BaseTextEdit edit)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        try (ApiClient client = invocation.connect()) {
            for (int attempt = 1; ; attempt++) {
                ConfigurationDocument before =
                        ConfigurationReports.toDocument(client.configuration());
                ConfigurationDocument after = before.withBase(editBaseText(edit, before.base()));
                ConfigurationReports.requireUsable(invocation.console(), read(after));
                try {
                    return client.apply(ConfigCommands.applyRequest(before.version(), after));
                } catch (ApiException e) {
                    boolean conflict = e.error().code().equals(ErrorCodes.VERSION_CONFLICT);
                    if (!conflict || attempt == MAX_ATTEMPTS) {
                        throw e;
                    }
                }
            }
        }
    }

    private static String editBaseText(BaseTextEdit edit, String base) throws CommandException {
        try {
            return edit.apply(base);
        } catch (EditException e) {
            throw new CommandException(ExitCode.FAILED, e.getMessage());
        }
    }

    private static CellReadResult read(ConfigurationDocument document) {
        return CellReader.of(PolicyNames.BUILT_IN).read(document);
    }
}
