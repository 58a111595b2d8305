package org.jujubefork.ctl.command;

/** Exit codes of {@code jujubectl} and {@code jujube-run}; scripts rely on the numbers. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** The cell rejected the command, or the job or change failed. */
    FAILED(1, "refused or failed"),
    /** The command line is invalid. */
    USAGE(2, "wrong usage"),
    /** The configuration has validation errors. */
    FINDINGS(3, "the configuration has errors"),
    /** The configuration has another version than the one that the change is based on. */
    CONFLICT(4, "another change came first"),
    /** No entry gave a complete response. */
    NOT_REACHABLE(5, "no entry could be reached");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /** Returns the exit code of the process. */
    public int code() {
        return code;
    }

    /** Returns a short description for the help text. */
    public String meaning() {
        return meaning;
    }
}
