package org.jujubefork.ctl.command;

import java.util.List;
import org.apache.commons.cli.Option;

/** Factory methods for options, and the options that all commands share. */
public final class OptionSpecs {
    /** Addresses of the entries to call. */
    public static final String ENTRIES = "entries";

    /** File with the access key. */
    public static final String KEY_FILE = "key-file";

    /** Format of the output. */
    public static final String OUTPUT = "output";

    /** Time limit of a call in seconds, including its retries. */
    public static final String TIMEOUT = "timeout-seconds";

    /** Prints the help. */
    public static final String HELP = "help";

    private OptionSpecs() {}

    /** Returns an option with one value. */
    public static Option value(String name, String valueName, String description) {
        return Option.builder().longOpt(name).hasArg().argName(valueName).desc(description).get();
    }

    /** Returns an option that accepts several values and may be repeated. */
    public static Option repeatable(String name, String valueName, String description) {
        return Option.builder().longOpt(name).hasArgs().argName(valueName).desc(description).get();
    }

    /** Returns an option without a value. */
    public static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }

    /** Returns the options that every command accepts. */
    static List<Option> common() {
        return List.of(
                value(
                        ENTRIES,
                        "HOST:PORT,...",
                        "entries to call, tried in this order (default: $JUJUBE_ENTRIES)"),
                value(KEY_FILE, "FILE", "file with the access key (default: $JUJUBE_KEY)"),
                value(TIMEOUT, "N", "time for one call with its retries (default: 15)"),
                value(OUTPUT, "text|json", "format of the output (default: text)"),
                flag(HELP, "print this help"));
    }
}
