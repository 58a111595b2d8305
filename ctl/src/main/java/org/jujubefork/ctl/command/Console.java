package org.jujubefork.ctl.command;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import org.jujubefork.client.api.ApiCodec;

/** Writes the output of commands, as text or as JSON. */
public final class Console {
    /** The formats of the output. */
    public enum Format {
        /** Tables for people. */
        TEXT,
        /** One JSON document. */
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

    /** Returns a console that writes to the given writers. */
    public static Console of(PrintWriter out, PrintWriter err, Format format) {
        return new Console(out, err, format);
    }

    /** Returns this console with another format. */
    public Console withFormat(Format newFormat) {
        return new Console(out, err, newFormat);
    }

    /** Writes {@code document} in the JSON format, or {@code text} in the text format. */
    public void print(Object document, Runnable text) {
        if (format == Format.JSON) {
            out.println(ApiCodec.encodeIndented(document));
        } else {
            text.run();
        }
        out.flush();
    }

    /** Writes a line of text. */
    public void line(String line) {
        out.println(line);
        out.flush();
    }

    /** Writes to the error output. */
    public void error(String message) {
        err.println("error: " + message);
        err.flush();
    }

    /** Writes a note to the error output, so that it stays out of JSON documents. */
    public void info(String message) {
        err.println(message);
        err.flush();
    }

    /** Writes rows in aligned columns below {@code headers}. */
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
