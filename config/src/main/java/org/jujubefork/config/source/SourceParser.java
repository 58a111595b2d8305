package org.jujubefork.config.source;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.io.JsonEOFException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads JSON with {@code //} and {@code /* *}{@code /} comments into {@link SourceValue}s. Trailing
 * commas are errors, as in plain JSON.
 */
public final class SourceParser {
    /** Deepest nesting that is read. No settings file has more than six levels. */
    private static final int MAX_DEPTH = 64;

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                    .build();

    private final String file;
    private final String text;
    private final List<Finding> findings = new ArrayList<>();
    private final Deque<SourcePlace> open = new ArrayDeque<>();

    private SourceParser(String file, String text) {
        this.file = file;
        this.text = text;
    }

    /**
     * Parses {@code text}. Wrong syntax is returned as a finding, not thrown.
     *
     * @param file the name by which findings refer to the text
     */
    public static SourceText parse(String file, String text) {
        return new SourceParser(file, text).parse();
    }

    private SourceText parse() {
        Optional<SourceValue> root = Optional.empty();
        try (JsonParser parser = FACTORY.createParser(text)) {
            try {
                root = root(parser);
            } catch (JsonProcessingException e) {
                // A text that is nested too deeply is reported without a location.
                JsonLocation location = e.getLocation();
                addError(place(location == null ? parser.currentLocation() : location), message(e));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("reading a string failed", e);
        }
        return new SourceText(file, text, root, findings);
    }

    private Optional<SourceValue> root(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) {
            addError(new SourcePlace(file, 1, 1, 0), "the text is empty");
            return Optional.empty();
        }
        SourceValue value = value(parser, "$");
        if (parser.nextToken() != null) {
            addError(tokenPlace(parser), "text follows after the end of the document");
            return Optional.empty();
        }
        return Optional.of(value);
    }

    private void addError(SourcePlace place, String message) {
        findings.add(Finding.error(place, "$", message));
    }

    private String message(JsonProcessingException e) {
        boolean atEnd =
                e instanceof JsonEOFException
                        || (e.getLocation() != null
                                && e.getLocation().getCharOffset()
                                        >= text.stripTrailing().length());
        if (atEnd && !open.isEmpty()) {
            SourcePlace start = open.peek();
            return "the text ends inside the object or array that starts at line "
                    + start.line()
                    + ", column "
                    + start.column();
        }
        return "syntax error: " + e.getOriginalMessage().lines().findFirst().orElse("");
    }

    private SourceValue value(JsonParser parser, String path) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser, path);
            case START_ARRAY -> array(parser, path);
            default -> scalar(parser, path);
        };
    }

    private SourceValue object(JsonParser parser, String path) throws IOException {
        SourcePlace start = tokenPlace(parser);
        open.push(start);
        Map<String, SourceMember> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            SourcePlace place = tokenPlace(parser);
            parser.nextToken();
            SourceMember member = new SourceMember(name, place, value(parser, path + "." + name));
            SourceMember first = members.putIfAbsent(name, member);
            if (first != null) {
                findings.add(
                        Finding.error(
                                place,
                                member.value().path(),
                                "the field \""
                                        + name
                                        + "\" is repeated; first at "
                                        + first.place()));
            }
        }
        open.pop();
        return new SourceValue(
                SourceKind.OBJECT,
                path,
                start,
                endOffset(parser),
                "",
                List.copyOf(members.values()),
                List.of());
    }

    private SourceValue array(JsonParser parser, String path) throws IOException {
        SourcePlace start = tokenPlace(parser);
        open.push(start);
        List<SourceValue> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(value(parser, path + "[" + elements.size() + "]"));
        }
        open.pop();
        return new SourceValue(
                SourceKind.ARRAY, path, start, endOffset(parser), "", List.of(), elements);
    }

    private SourceValue scalar(JsonParser parser, String path) throws IOException {
        SourcePlace start = tokenPlace(parser);
        SourceKind kind =
                switch (parser.currentToken()) {
                    case VALUE_STRING -> SourceKind.TEXT;
                    case VALUE_NUMBER_INT -> SourceKind.WHOLE;
                    case VALUE_NUMBER_FLOAT -> SourceKind.DECIMAL;
                    case VALUE_TRUE, VALUE_FALSE -> SourceKind.FLAG;
                    default -> SourceKind.NULL;
                };
        // The text is read before the end offset, because strings are decoded lazily.
        String literal = parser.getText();
        return new SourceValue(kind, path, start, endOffset(parser), literal, List.of(), List.of());
    }

    private SourcePlace tokenPlace(JsonParser parser) {
        return place(parser.currentTokenLocation());
    }

    private static int endOffset(JsonParser parser) {
        return (int) parser.currentLocation().getCharOffset();
    }

    private SourcePlace place(JsonLocation location) {
        return new SourcePlace(
                file,
                Math.max(1, location.getLineNr()),
                Math.max(1, location.getColumnNr()),
                (int) Math.max(0, location.getCharOffset()));
    }
}
