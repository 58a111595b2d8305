package org.jujubefork.ctl.command;

/** A command ends early. The message says why. */
public final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /** Creates an exception that ends the command with {@code exitCode}. */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /** Returns an exception for a wrong command line. */
    public static CommandException usage(String message) {
        return new CommandException(ExitCode.USAGE, message);
    }

    /** Returns the exit code of the process. */
    public ExitCode exitCode() {
        return exitCode;
    }
}
