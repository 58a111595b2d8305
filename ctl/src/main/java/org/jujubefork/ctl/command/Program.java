package org.jujubefork.ctl.command;

import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.NotReachableException;

/**
 * A command-line program with subcommands.
 *
 * @param name the name of the executable
 * @param summary the purpose of the program, for the help text
 * @param commands the subcommands, in the order of the help text
 */
public record Program(String name, String summary, List<CommandSpec> commands) {
    /** Copies {@code commands}. */
    public Program {
        commands = List.copyOf(commands);
    }

    /**
     * Runs the command that {@code args} names. Errors go to the error output of {@code console}.
     *
     * @param environment the environment variables by name
     * @param random the random source for new access keys
     */
    public ExitCode run(
            String[] args,
            Console console,
            Map<String, String> environment,
            RandomGenerator random) {
        if (args.length == 0 || "--help".equals(args[0])) {
            printOverview(console);
            return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        Optional<CommandSpec> spec = findCommand(args);
        if (spec.isEmpty()) {
            console.error("unknown command \"" + args[0] + "\"; see " + name + " --help");
            return ExitCode.USAGE;
        }
        int nameWordCount = spec.get().name().split(" ", -1).length;
        String[] commandArgs = Arrays.copyOfRange(args, nameWordCount, args.length);
        try {
            CommandLine commandLine = new DefaultParser().parse(optionsOf(spec.get()), commandArgs);
            if (commandLine.hasOption(OptionSpecs.HELP)) {
                printHelp(spec.get(), console);
                return ExitCode.OK;
            }
            return runCommand(spec.get(), commandLine, console, environment, random);
        } catch (ParseException e) {
            console.error(e.getMessage() + "; see " + name + " " + spec.get().name() + " --help");
            return ExitCode.USAGE;
        }
    }

    /** Runs the command that {@code args} names, then exits the process with its code. */
    @SuppressWarnings("SystemOut") // standard output is the interface of a command-line program
    public void runAndExit(String[] args) {
        Console console = Console.of(writer(System.out), writer(System.err), Console.Format.TEXT);
        System.exit(run(args, console, System.getenv(), new SecureRandom()).code());
    }

    private static PrintWriter writer(OutputStream output) {
        return new PrintWriter(new OutputStreamWriter(output, StandardCharsets.UTF_8));
    }

    private static ExitCode runCommand(
            CommandSpec spec,
            CommandLine commandLine,
            Console console,
            Map<String, String> environment,
            RandomGenerator random) {
        Console formattedConsole = console;
        try {
            formattedConsole = console.withFormat(outputFormat(commandLine));
            checkArgumentCount(spec, commandLine);
            return spec.command()
                    .run(
                            new Invocation(
                                    commandLine,
                                    commandLine.getArgList(),
                                    formattedConsole,
                                    environment,
                                    random));
        } catch (CommandException e) {
            formattedConsole.error(e.getMessage());
            return e.exitCode();
        } catch (ApiException e) {
            return reportApiError(formattedConsole, e);
        } catch (NotReachableException e) {
            formattedConsole.error(e.getMessage());
            return ExitCode.NOT_REACHABLE;
        } catch (InvalidMessageException e) {
            formattedConsole.error("the response cannot be decoded: " + e.getMessage());
            return ExitCode.FAILED;
        } catch (InterruptedException _) {
            Thread.currentThread().interrupt();
            formattedConsole.error("interrupted");
            return ExitCode.FAILED;
        }
    }

    private static Console.Format outputFormat(CommandLine commandLine) throws CommandException {
        String text = commandLine.getOptionValue(OptionSpecs.OUTPUT, "text");
        return switch (text) {
            case "text" -> Console.Format.TEXT;
            case "json" -> Console.Format.JSON;
            default -> throw CommandException.usage("--output must be text or json: " + text);
        };
    }

    private static void checkArgumentCount(CommandSpec spec, CommandLine commandLine)
            throws CommandException {
        if (commandLine.getArgList().size() != spec.arguments().size()) {
            throw CommandException.usage(
                    "expected "
                            + (spec.arguments().isEmpty()
                                    ? "no arguments"
                                    : String.join(" ", spec.arguments()))
                            + ", found "
                            + commandLine.getArgList());
        }
    }

    /** Prints the details of a rejected call and returns the matching exit code. */
    private static ExitCode reportApiError(Console console, ApiException e) {
        console.error(e.getMessage() + ", outcome " + e.error().outcome());
        e.error()
                .retryAfterMillis()
                .ifPresent(millis -> console.info("retry after " + millis + " ms"));
        e.error().findings().forEach(finding -> console.info(finding.toString()));
        e.error()
                .changes()
                .forEach(
                        change ->
                                console.info(
                                        "changed meanwhile: "
                                                + change.path()
                                                + ": "
                                                + change.before().orElse("absent")
                                                + " -> "
                                                + change.after().orElse("absent")));
        return switch (e.error().code()) {
            case ErrorCodes.VERSION_CONFLICT -> ExitCode.CONFLICT;
            case ErrorCodes.INVALID_CONFIGURATION -> ExitCode.FINDINGS;
            default -> ExitCode.FAILED;
        };
    }

    private Optional<CommandSpec> findCommand(String[] args) {
        String firstTwoWords = args.length > 1 ? args[0] + " " + args[1] : args[0];
        return commands.stream()
                .filter(spec -> spec.name().equals(firstTwoWords) || spec.name().equals(args[0]))
                .findFirst();
    }

    private static Options optionsOf(CommandSpec spec) {
        Options options = new Options();
        OptionSpecs.common().forEach(options::addOption);
        spec.options().forEach(options::addOption);
        return options;
    }

    private void printOverview(Console console) {
        console.line("usage: " + name + " COMMAND [ARGUMENTS] [OPTIONS]");
        console.line(summary);
        console.line("");
        console.table(
                List.of("command", "effect"),
                commands.stream()
                        .map(spec -> List.of(commandUsage(spec), spec.summary()))
                        .toList());
        console.line("");
        console.line(name + " COMMAND --help lists the options of a command. Exit codes:");
        for (ExitCode code : ExitCode.values()) {
            console.line("  " + code.code() + "  " + code.meaning());
        }
    }

    private void printHelp(CommandSpec spec, Console console) {
        console.line("usage: " + name + " " + commandUsage(spec) + " [OPTIONS]");
        console.line(spec.summary());
        console.line("");
        List<List<String>> rows =
                optionsOf(spec).getOptions().stream()
                        .map(option -> List.of(optionUsage(option), option.getDescription()))
                        .toList();
        console.table(List.of("option", "meaning"), rows);
    }

    private static String commandUsage(CommandSpec spec) {
        return String.join(" ", spec.name(), String.join(" ", spec.arguments())).strip();
    }

    private static String optionUsage(Option option) {
        String name = "--" + option.getLongOpt().toLowerCase(Locale.ROOT);
        return option.hasArg() ? name + " " + option.getArgName() : name;
    }
}
