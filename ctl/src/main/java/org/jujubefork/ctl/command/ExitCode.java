package org.jujubefork.ctl.command;

/** Exit codes of the command lines. */
public enum ExitCode {
    /** Done. */
    OK(0, "done"),
    /** The cell refused the command, or the work failed. */
    FAILED(1, "refused or failed"),
    /** The command line is wrong. */
    USAGE(2, "wrong usage"),
    /** A configuration has errors. */
    FINDINGS(3, "the configuration has errors"),
    /** Another change of the configuration came first. */
    CONFLICT(4, "another change came first"),
    /** No entry gave a complete answer. */
    NOT_REACHABLE(5, "no entry could be reached");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /** Returns the number that the process exits with. */
    public int code() {
        return code;
    }

    /** Returns what the code means, for the help. */
    public String meaning() {
        return meaning;
    }
}
