package org.jujubefork.ctl.command;

import java.util.List;
import org.apache.commons.cli.Option;

/**
 * The declaration of a command: its syntax, its help text and its implementation.
 *
 * @param name one or two words, such as {@code config check}
 * @param arguments the names of the positional arguments, all mandatory
 * @param summary what the command does, one or two sentences
 * @param options the options besides {@link OptionSpecs#common()}
 * @param command the implementation
 */
public record CommandSpec(
        String name,
        List<String> arguments,
        String summary,
        List<Option> options,
        Command command) {
    /** Copies the lists. */
    public CommandSpec {
        arguments = List.copyOf(arguments);
        options = List.copyOf(options);
    }

    /** Returns a command with the given options. */
    public static CommandSpec of(
            String name,
            List<String> arguments,
            String summary,
            Command command,
            Option... options) {
        return new CommandSpec(name, arguments, summary, List.of(options), command);
    }
}
