package org.jujubefork.ctl.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.cli.Option;
import org.jujubefork.client.api.ConfigView;
import org.jujubefork.config.cell.CellReadResult;
import org.jujubefork.config.cell.CellReader;
import org.jujubefork.config.cell.NamedText;
import org.jujubefork.config.cell.PolicyNames;
import org.jujubefork.ctl.command.CommandException;
import org.jujubefork.ctl.command.ExitCode;
import org.jujubefork.ctl.command.Invocation;
import org.jujubefork.ctl.command.OptionSpecs;

/**
 * Reads and writes the configuration files of a cell: {@code base.jsonc}, {@code
 * overlays/SITE.jsonc} and, if the files were fetched from a cell, {@code .version} with the
 * version that they are based on.
 */
final class ConfigFiles {
    static final Option DIR_OPTION =
            OptionSpecs.value(
                    "dir", "DIR", "folder with base.jsonc and overlays/*.jsonc (default: none)");
    static final Option BASE_OPTION =
            OptionSpecs.value("base", "FILE", "base file instead of --dir");
    static final Option OVERLAY_OPTION =
            OptionSpecs.repeatable("overlay", "FILE", "overlay on top of --base, may be repeated");

    private static final String BASE_FILE = "base.jsonc";
    private static final String OVERLAY_FOLDER = "overlays";
    private static final String VERSION_FILE = ".version";
    private static final String FILE_SUFFIX = ".jsonc";

    private ConfigFiles() {}

    /** Reads and checks the files that are given by the options. */
    static CellReadResult read(Invocation invocation) throws CommandException {
        Optional<String> dir = invocation.option(DIR_OPTION.getLongOpt());
        if (dir.isPresent() == invocation.hasOption(BASE_OPTION.getLongOpt())) {
            throw CommandException.usage("give either --dir or --base");
        }
        List<Path> overlays = new ArrayList<>();
        Path base;
        if (dir.isPresent()) {
            base = Path.of(dir.get(), BASE_FILE);
            overlays.addAll(listOverlays(Path.of(dir.get(), OVERLAY_FOLDER)));
        } else {
            base = Path.of(invocation.requiredOption(BASE_OPTION.getLongOpt()));
            invocation
                    .options(OVERLAY_OPTION.getLongOpt())
                    .forEach(file -> overlays.add(Path.of(file)));
        }
        List<NamedText> texts = new ArrayList<>();
        for (Path overlay : overlays) {
            texts.add(readNamedText(overlay));
        }
        return CellReader.of(PolicyNames.BUILT_IN)
                .read(expectedVersion(invocation).orElse(0L), readNamedText(base), texts);
    }

    /** Returns whether the options give configuration files. */
    static boolean areGiven(Invocation invocation) {
        return invocation.hasOption(DIR_OPTION.getLongOpt())
                || invocation.hasOption(BASE_OPTION.getLongOpt());
    }

    /**
     * Returns the version that the files are based on: that of {@code --if-version}, else that in
     * the {@code .version} file of {@code --dir}, or empty if both are missing.
     */
    static Optional<Long> expectedVersion(Invocation invocation) throws CommandException {
        Optional<Long> fromOption = invocation.integerOption("if-version", 0, Long.MAX_VALUE);
        Optional<String> dir = invocation.option(DIR_OPTION.getLongOpt());
        if (fromOption.isPresent() || dir.isEmpty()) {
            return fromOption;
        }
        Path file = Path.of(dir.get(), VERSION_FILE);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        String text = Invocation.readFile(file).strip();
        try {
            return Optional.of(Long.parseLong(text));
        } catch (NumberFormatException _) {
            throw new CommandException(
                    ExitCode.FAILED, file + " does not contain a version number: " + text);
        }
    }

    /** Writes the configuration files of {@code view} and its version to the folder {@code dir}. */
    static void write(Path dir, ConfigView view) throws CommandException {
        Invocation.writeFile(dir.resolve(BASE_FILE), view.base());
        for (Map.Entry<String, String> overlay : view.overlays().entrySet()) {
            if (!overlay.getKey().matches("[A-Za-z0-9._-]+")) {
                throw new CommandException(
                        ExitCode.FAILED,
                        "site name cannot be used as a file name: " + overlay.getKey());
            }
            Invocation.writeFile(
                    dir.resolve(OVERLAY_FOLDER).resolve(overlay.getKey() + FILE_SUFFIX),
                    overlay.getValue());
        }
        writeVersion(dir, view.version());
    }

    /** Writes the version that the files in {@code dir} are based on to {@code .version}. */
    static void writeVersion(Path dir, long version) throws CommandException {
        Invocation.writeFile(dir.resolve(VERSION_FILE), version + "\n");
    }

    private static NamedText readNamedText(Path path) throws CommandException {
        return NamedText.of(path.toString(), Invocation.readFile(path));
    }

    private static List<Path> listOverlays(Path folder) throws CommandException {
        if (!Files.isDirectory(folder)) {
            return List.of();
        }
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(FILE_SUFFIX)).sorted().toList();
        } catch (IOException e) {
            throw CommandException.usage("cannot list " + folder + ": " + e);
        }
    }
}
