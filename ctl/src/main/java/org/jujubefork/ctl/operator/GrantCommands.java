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

/** The commands {@code key ...} and {@code team ...}, which edit the base text of the cell. */
final class GrantCommands {
    /** Attempts to apply an edit. Each lost race means that another operator's change went in. */
    private static final int MAX_ATTEMPTS = 5;

    private static final String TEAM = "team";
    private static final String OPERATOR = "operator";
    private static final String WEIGHT = "weight";
    private static final String CPU = "cpu-millis";
    private static final String MEMORY = "memory-mb";
    private static final String ACCELERATORS = "accelerators";
    private static final long MAX_AMOUNT = 10_000_000_000L;

    /** A change of the base text. */
    @FunctionalInterface
    private interface Edit {
        String apply(String base) throws EditException;
    }

    private GrantCommands() {}

    static List<CommandSpec> specs() {
        return List.of(
                CommandSpec.of(
                        "key create",
                        List.of("ID"),
                        "Grants a new access key and prints it once. Only its hash is kept.",
                        GrantCommands::createKey,
                        OptionSpecs.value(TEAM, "TEAM", "the team that the key speaks for"),
                        OptionSpecs.flag(OPERATOR, "the key is an operator's")),
                CommandSpec.of(
                        "key withdraw",
                        List.of("ID"),
                        "Withdraws an access key.",
                        GrantCommands::withdrawKey),
                CommandSpec.of(
                        "key list", List.of(), "Lists the access keys.", GrantCommands::listKeys),
                CommandSpec.of(
                        "team set",
                        List.of("TEAM"),
                        "Adds a team or changes its share or upper limit.",
                        GrantCommands::setTeam,
                        OptionSpecs.value(WEIGHT, "N", "share relative to other teams, above 0"),
                        OptionSpecs.value(CPU, "N", "upper limit in thousandths of a core"),
                        OptionSpecs.value(MEMORY, "N", "upper limit in MiB"),
                        OptionSpecs.value(ACCELERATORS, "N", "upper limit of accelerators")),
                CommandSpec.of(
                        "team list",
                        List.of(),
                        "Lists the teams with shares and limits.",
                        GrantCommands::listTeams));
    }

    private static ExitCode createKey(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        String id = invocation.arguments().getFirst();
        Optional<String> team = invocation.option(TEAM);
        if (team.isPresent() == invocation.has(OPERATOR)) {
            throw CommandException.usage("give either --team or --operator");
        }
        String key = AccessKeys.generate(invocation.random());
        String hash = AccessKeys.hash(key);
        Edit edit =
                team.<Edit>map(name -> base -> BaseEditor.addKey(base, id, name, hash))
                        .orElse(base -> BaseEditor.addOperator(base, id, hash));
        ApplyResult result = change(invocation, edit);
        // An unconfirmed change may still come into force, so its key is printed too.
        Console console = invocation.console();
        console.print(new CreatedKey(id, key, result), () -> console.line(key));
        return explain(console, result);
    }

    /**
     * The JSON output of {@code key create}.
     *
     * @param id the name by which the key is withdrawn
     * @param key the key itself
     * @param result how far the change is
     */
    private record CreatedKey(String id, String key, ApplyResult result) {}

    private static ExitCode explain(Console console, ApplyResult result) {
        console.note("version " + result.version() + " in force on " + result.inForceOn());
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
                invocation.console(), change(invocation, base -> BaseEditor.withdrawKey(base, id)));
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
                        amount(invocation, CPU),
                        amount(invocation, MEMORY),
                        amount(invocation, ACCELERATORS));
        return ConfigCommands.printResult(
                invocation.console(), change(invocation, base -> BaseEditor.setTeam(base, edit)));
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
            // Reported below together with numbers out of bounds.
        }
        throw CommandException.usage("--weight must be a number above 0: " + text.get());
    }

    private static OptionalLong amount(Invocation invocation, String option)
            throws CommandException {
        return invocation
                .number(option, 0, MAX_AMOUNT)
                .map(OptionalLong::of)
                .orElse(OptionalLong.empty());
    }

    private static ExitCode listKeys(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        List<ConfigurationText.KeyRow> keys = ConfigurationText.keys(inForce(invocation));
        Console console = invocation.console();
        console.print(keys, () -> ConfigurationText.printKeys(console, keys));
        return ExitCode.OK;
    }

    private static ExitCode listTeams(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        Configuration configuration = inForce(invocation);
        Console console = invocation.console();
        console.print(
                ConfigurationText.teams(configuration),
                () -> ConfigurationText.printTeams(console, configuration));
        return ExitCode.OK;
    }

    /** Returns the configuration of any site; teams and keys are the same for all. */
    private static Configuration inForce(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        try (ApiClient client = invocation.connect()) {
            CellReadResult reading = read(Reports.document(client.configuration()));
            Reports.requireUsable(invocation.console(), reading);
            return reading.configurations().values().iterator().next();
        }
    }

    /** Applies an edit to the base text in force; after a lost race to the text that won. */
    private static ApplyResult change(Invocation invocation, Edit edit)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        try (ApiClient client = invocation.connect()) {
            for (int attempt = 1; ; attempt++) {
                ConfigurationDocument before = Reports.document(client.configuration());
                ConfigurationDocument after = before.withBase(edited(edit, before.base()));
                Reports.requireUsable(invocation.console(), read(after));
                try {
                    return client.apply(ConfigCommands.change(before.version(), after));
                } catch (ApiException e) {
                    boolean conflict = e.error().code().equals(ErrorCodes.VERSION_CONFLICT);
                    if (!conflict || attempt == MAX_ATTEMPTS) {
                        throw e;
                    }
                }
            }
        }
    }

    private static String edited(Edit edit, String base) throws CommandException {
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
