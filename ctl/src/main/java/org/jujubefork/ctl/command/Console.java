package org.jujubefork.ctl.command;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import org.jujubefork.client.api.ApiCodec;

/** Writes the output of a command, as text or as JSON. */
public final class Console {
    /** The output formats. */
    public enum Format {
        /** Lines and aligned tables for people. */
        TEXT,
        /** A single JSON document for programs. */
        JSON
    }

    private static final String COLUMN_GAP = "  ";

    private final PrintWriter out;
    private final PrintWriter err;
    private final Format format;

    private Console(PrintWriter out, PrintWriter err, Format format) {
        this.out = out;
        this.err = err;
        this.format = format;
    }

    /** Returns a console that prints results to {@code out} and diagnostics to {@code err}. */
    public static Console of(PrintWriter out, PrintWriter err, Format format) {
        return new Console(out, err, format);
    }

    /** Returns a console with the same writers and {@code newFormat}. */
    public Console withFormat(Format newFormat) {
        return new Console(out, err, newFormat);
    }

    /** Prints {@code document} in the JSON format; runs {@code text} in the text format. */
    public void print(Object document, Runnable text) {
        if (format == Format.JSON) {
            out.println(ApiCodec.encodeIndented(document));
        } else {
            text.run();
        }
        out.flush();
    }

    /** Prints a line to the output, whatever the format. */
    public void line(String line) {
        out.println(line);
        out.flush();
    }

    /** Prints {@code message} to the error output, with the prefix {@code error:}. */
    public void error(String message) {
        err.println("error: " + message);
        err.flush();
    }

    /** Prints {@code message} to the error output, so that JSON output stays parseable. */
    public void info(String message) {
        err.println(message);
        err.flush();
    }

    /** Prints {@code rows} as left-aligned columns below {@code headers}. */
    public void table(List<String> headers, List<List<String>> rows) {
        List<List<String>> headerAndRows = new ArrayList<>();
        headerAndRows.add(headers);
        headerAndRows.addAll(rows);
        for (List<String> row : headerAndRows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                int column = i;
                int width =
                        headerAndRows.stream()
                                .mapToInt(r -> r.get(column).length())
                                .max()
                                .orElse(0);
                line.append(row.get(i))
                        .append(" ".repeat(width - row.get(i).length()))
                        .append(COLUMN_GAP);
            }
            out.println(line.toString().stripTrailing());
        }
        out.flush();
    }
}
