package org.jujubefork.ctl.command;

/** Thrown when a command cannot continue. The message is shown to the user. */
public final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /** Creates an exception that ends the command with {@code exitCode}. */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /** Returns an exception for a wrong command line, with {@link ExitCode#USAGE}. */
    public static CommandException usage(String message) {
        return new CommandException(ExitCode.USAGE, message);
    }

    /** Returns the exit code of the process. */
    public ExitCode exitCode() {
        return exitCode;
    }
}
