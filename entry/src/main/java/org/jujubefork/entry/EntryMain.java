package org.jujubefork.entry;

import java.io.IOException;
import java.net.BindException;
import java.nio.file.Path;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.jujubefork.config.settings.DaemonSettings;
import org.jujubefork.config.settings.DaemonSettingsReader;
import org.jujubefork.config.settings.InvalidSettingsException;

/** Main class of the command {@code jujube-entry}. */
public final class EntryMain {
    /** Time for closing connections and threads after the drain timeout of the settings. */
    private static final long STOP_MARGIN_MILLIS = 2_000;

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_INVALID_SETTINGS = 3;
    private static final int EXIT_BIND_FAILED = 4;
    private static final int EXIT_HEAP_EXHAUSTED = 5;

    private EntryMain() {}

    /** Runs an entry until the process receives a termination signal or exhausts its heap. */
    public static void main(String[] arguments) throws InterruptedException {
        Options options =
                new Options()
                        .addOption(
                                Option.builder("s")
                                        .longOpt("settings")
                                        .hasArg()
                                        .argName("FILE")
                                        .desc("settings of this entry, JSON with comments")
                                        .get())
                        .addOption(
                                "c",
                                "check",
                                false,
                                "check the settings, and the region against the store, and exit")
                        .addOption("h", "help", false, "print this help and exit");
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            if (line.hasOption("help")) {
                printHelp(options);
                return;
            }
            if (!line.hasOption("settings")) {
                exit(EXIT_USAGE, "error: --settings FILE is required; see --help");
            }
            DaemonSettings settings =
                    DaemonSettingsReader.read(Path.of(line.getOptionValue("settings")));
            if (line.hasOption("check")) {
                check(settings);
                return;
            }
            run(settings);
        } catch (ParseException e) {
            exit(EXIT_USAGE, "error: " + e.getMessage() + "; see --help");
        } catch (InvalidSettingsException e) {
            exit(EXIT_INVALID_SETTINGS, e.getMessage());
        } catch (BindException e) {
            exit(
                    EXIT_BIND_FAILED,
                    "error: "
                            + e.getMessage()
                            + "; end the process that uses the address, or change the setting");
        } catch (IOException e) {
            exit(EXIT_FAILED, "error: " + e.getMessage());
        }
    }

    private static void check(DaemonSettings settings) {
        RegionCheck.Result region = RegionCheck.of(settings);
        if (!region.passed()) {
            exit(EXIT_INVALID_SETTINGS, region.text());
        }
        System.out.println("settings are valid; " + region.text());
    }

    private static void run(DaemonSettings settings) throws IOException, InterruptedException {
        Daemon daemon = Daemon.start(settings);
        long stopTimeoutMillis = settings.drainTimeoutMillis() + STOP_MARGIN_MILLIS;
        Thread stop =
                Thread.ofPlatform().name("stop").unstarted(() -> stop(daemon, stopTimeoutMillis));
        Runtime.getRuntime().addShutdownHook(stop);
        System.out.println("ready entry=" + settings.name() + " http=" + settings.httpAddress());
        HeapGuard.ofProcess().awaitExhaustion();
        // A graceful stop needs free heap. Other entries take over the shards as after a crash.
        System.err.println("error: the heap is full; a larger -Xmx or more entries are needed");
        Runtime.getRuntime().halt(EXIT_HEAP_EXHAUSTED);
    }

    /** Stops {@code daemon}; returns after {@code timeoutMillis} even if that is not complete. */
    private static void stop(Daemon daemon, long timeoutMillis) {
        Thread closer =
                Thread.ofPlatform().daemon().name("closing").start(() -> closeQuietly(daemon));
        try {
            if (!closer.join(Duration.ofMillis(timeoutMillis))) {
                System.err.println("error: stopping took longer than " + timeoutMillis + " ms");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void closeQuietly(Daemon daemon) {
        try {
            daemon.close();
        } catch (IOException e) {
            System.err.println("error: stopping failed: " + e.getMessage());
        }
    }

    private static void printHelp(Options options) throws IOException {
        HelpFormatter.builder()
                .get()
                .printHelp(
                        "jujube-entry --settings FILE",
                        "Runs one entry of a cell.",
                        options,
                        "",
                        false);
    }

    private static void exit(int status, String message) {
        System.err.println(message);
        System.exit(status);
    }
}
