package org.jujubefork.ctl.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.apache.commons.cli.CommandLine;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiClientSettings;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.NotReachableException;

/**
 * The input of one run of a command: parsed options, arguments and environment.
 *
 * @param commandLine the parsed command line
 * @param arguments the positional arguments, as many as the command declares
 * @param console receives the output, in the format that the user chose
 * @param environment the environment variables by name
 * @param random the random source for new access keys
 */
public record Invocation(
        CommandLine commandLine,
        List<String> arguments,
        Console console,
        Map<String, String> environment,
        RandomGenerator random) {
    private static final int MAX_TIMEOUT_SECONDS = 86_400;

    /** Returns the value of the option {@code name}, or empty if it is not given. */
    public Optional<String> option(String name) {
        return Optional.ofNullable(commandLine.getOptionValue(name));
    }

    /** Returns all values of a repeatable option, empty if it is not given. */
    public List<String> options(String name) {
        String[] values = commandLine.getOptionValues(name);
        return values == null ? List.of() : List.of(values);
    }

    /** Returns whether the option {@code name} is given. */
    public boolean hasOption(String name) {
        return commandLine.hasOption(name);
    }

    /**
     * Returns the value of a mandatory option.
     *
     * @throws CommandException if the option is not given
     */
    public String requiredOption(String name) throws CommandException {
        return option(name)
                .orElseThrow(() -> CommandException.usage("the option --" + name + " is required"));
    }

    /**
     * Returns the value of an integer option, or empty if the option is not given.
     *
     * @throws CommandException if the value is not an integer from {@code min} to {@code max}
     */
    public Optional<Long> integerOption(String name, long min, long max) throws CommandException {
        Optional<String> text = option(name);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            long value = Long.parseLong(text.get());
            if (value >= min && value <= max) {
                return Optional.of(value);
            }
        } catch (NumberFormatException _) {
            // Falls through to the error below, as an integer out of range does.
        }
        throw CommandException.usage(
                "--"
                        + name
                        + " must be a whole number from "
                        + min
                        + " to "
                        + max
                        + ": "
                        + text.get());
    }

    /**
     * Returns a client for the entries in {@code --entries} or else {@code JUJUBE_ENTRIES}.
     *
     * @throws CommandException if neither names an entry, an address is malformed or the key file
     *     cannot be read
     */
    public ApiClient connect() throws CommandException {
        Optional<String> entries =
                option(OptionSpecs.ENTRIES)
                        .or(() -> Optional.ofNullable(environment.get("JUJUBE_ENTRIES")));
        if (entries.isEmpty() || entries.get().isBlank()) {
            throw CommandException.usage("give --entries HOST:PORT,... or set JUJUBE_ENTRIES");
        }
        return connect(List.of(entries.get().split("[,\\s]+")));
    }

    /**
     * Returns a client for {@code entries}, each of the form {@code HOST:PORT}.
     *
     * @throws CommandException if an address is malformed or the key file cannot be read
     */
    public ApiClient connect(List<String> entries) throws CommandException {
        for (String entry : entries) {
            if (!entry.matches("[A-Za-z0-9.:\\[\\]-]+:\\d{1,5}")) {
                throw CommandException.usage("not an address of the form HOST:PORT: " + entry);
            }
        }
        long seconds =
                integerOption(OptionSpecs.TIMEOUT, 1, MAX_TIMEOUT_SECONDS)
                        .orElse(ApiClientSettings.DEFAULT_TIMEOUT.toSeconds());
        return ApiClient.of(
                ApiClientSettings.of(entries, accessKey())
                        .withTimeout(Duration.ofSeconds(seconds)));
    }

    /** An API call that returns a view of the cell. */
    @FunctionalInterface
    public interface ViewQuery<T> {
        /** Fetches the view through {@code client}. */
        T fetch(ApiClient client)
                throws ApiException,
                        NotReachableException,
                        InvalidMessageException,
                        InterruptedException;
    }

    /**
     * Fetches a view through {@link #connect()} and prints it, as JSON or with {@code textPrinter}.
     *
     * @throws CommandException under the conditions of {@link #connect()}
     */
    public <T> ExitCode fetchAndPrint(ViewQuery<T> query, BiConsumer<Console, T> textPrinter)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        try (ApiClient client = connect()) {
            T view = query.fetch(client);
            console.print(view, () -> textPrinter.accept(console, view));
        }
        return ExitCode.OK;
    }

    private Optional<String> accessKey() throws CommandException {
        Optional<String> file = option(OptionSpecs.KEY_FILE);
        if (file.isPresent()) {
            return Optional.of(readFile(Path.of(file.get())).strip());
        }
        return Optional.ofNullable(environment.get("JUJUBE_KEY"));
    }

    /**
     * Returns the content of a UTF-8 file.
     *
     * @throws CommandException if the file cannot be read
     */
    public static String readFile(Path path) throws CommandException {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            throw CommandException.usage("cannot read " + path + ": " + e);
        }
    }

    /**
     * Writes a UTF-8 file and creates missing parent folders.
     *
     * @throws CommandException if the file or a folder cannot be written
     */
    public static void writeFile(Path path, String text) throws CommandException {
        try {
            Path folder = path.toAbsolutePath().getParent();
            Files.createDirectories(folder);
            Files.writeString(path, text);
        } catch (IOException e) {
            throw new CommandException(ExitCode.FAILED, "cannot write " + path + ": " + e);
        }
    }
}
