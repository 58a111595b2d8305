package org.jujubefork.ctl.caller;

import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import org.jujubefork.ctl.command.Console;
import org.jujubefork.ctl.command.Program;

/** The command line of callers. */
public final class JujubeRun {
    private JujubeRun() {}

    /** Returns the program. */
    public static Program program() {
        return new Program(
                "jujube-run",
                "Sends requests and jobs to a cell. Needs a team's key, except for open queues.",
                RunCommands.specs());
    }

    /** Runs the command line and exits with the code of its command. */
    public static void main(String[] args) {
        PrintWriter out =
                new PrintWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8));
        PrintWriter err =
                new PrintWriter(new OutputStreamWriter(System.err, StandardCharsets.UTF_8));
        Console console = Console.of(out, err, Console.Format.TEXT);
        System.exit(program().run(args, console, System.getenv(), new SecureRandom()).code());
    }
}
