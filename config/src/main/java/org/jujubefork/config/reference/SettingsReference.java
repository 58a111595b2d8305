package org.jujubefork.config.reference;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jujubefork.config.cell.CellSchema;
import org.jujubefork.config.cell.PolicyNames;
import org.jujubefork.config.settings.DaemonSettingsSchema;

/** Generates the committed reference files: the Markdown page and the JSON schemas. */
public final class SettingsReference {
    private SettingsReference() {}

    /** Returns the content of each reference file by its path relative to the project's root. */
    public static SortedMap<String, String> files() {
        CellSchema cell = CellSchema.of(PolicyNames.BUILT_IN);
        SortedMap<String, String> files = new TreeMap<>();
        files.put("docs/SETTINGS.md", markdown(cell));
        files.put(
                "docs/schema/daemon.schema.json",
                JsonSchema.of("Settings of an entry daemon", DaemonSettingsSchema.ROOT));
        files.put(
                "docs/schema/base.schema.json", JsonSchema.of("Base file of a cell", cell.base()));
        files.put(
                "docs/schema/overlay.schema.json",
                JsonSchema.of("Overlay of a site", cell.overlay()));
        return Collections.unmodifiableSortedMap(files);
    }

    /**
     * Writes the reference files.
     *
     * @param args the project's root folder; the working directory if empty
     * @throws IOException if a file cannot be written
     */
    public static void main(String[] args) throws IOException {
        Path root = Path.of(args.length == 0 ? "." : args[0]);
        for (Map.Entry<String, String> file : files().entrySet()) {
            Path path = root.resolve(file.getKey());
            Files.createDirectories(path.getParent());
            Files.writeString(path, file.getValue());
        }
    }

    private static String markdown(CellSchema cell) {
        return """
               # Settings

               All files are JSON with `//` and `/* */` comments. This page and the files in
               `docs/schema` are generated from the declarations that the readers use, by
               `org.jujubefork.config.reference.SettingsReference`. A test compares them.

               """
                + MarkdownReference.section(
                        "Entry daemon",
                        "One file per entry, read once at the start.",
                        DaemonSettingsSchema.ROOT)
                + "\n"
                + MarkdownReference.section(
                        "Base file",
                        "What all sites have in common. Operators change it while the system runs.",
                        cell.base())
                + "\n"
                + MarkdownReference.section(
                        "Overlay",
                        "How one site differs. Each value replaces that of the base; what is left"
                                + " out stays as in the base. The defaults apply where neither"
                                + " gives a value.",
                        cell.overlay());
    }
}
