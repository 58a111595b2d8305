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
 * Parses JSON with {@code //} and {@code /* *}{@code /} comments into {@link SourceValue}s.
 * Trailing commas are errors, as in plain JSON.
 */
public final class SourceParser {
    /** Maximum nesting depth that is accepted. Valid settings files have at most six levels. */
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
    private final Deque<SourcePosition> openContainers = new ArrayDeque<>();

    private SourceParser(String file, String text) {
        this.file = file;
        this.text = text;
    }

    /**
     * Parses {@code text}. Syntax errors are returned as findings, not thrown.
     *
     * @param file the file name for findings
     */
    public static SourceText parse(String file, String text) {
        return new SourceParser(file, text).parse();
    }

    private SourceText parse() {
        Optional<SourceValue> root = Optional.empty();
        try (JsonParser parser = FACTORY.createParser(text)) {
            try {
                root = parseDocument(parser);
            } catch (JsonProcessingException e) {
                // Jackson reports text that is nested too deeply without a location.
                JsonLocation location = e.getLocation();
                addError(
                        toPosition(location == null ? parser.currentLocation() : location),
                        syntaxErrorMessage(e));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("failed to read the settings text from memory", e);
        }
        return new SourceText(file, text, root, findings);
    }

    private Optional<SourceValue> parseDocument(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) {
            addError(new SourcePosition(file, 1, 1, 0), "the text is empty");
            return Optional.empty();
        }
        SourceValue value = parseValue(parser, "$");
        if (parser.nextToken() != null) {
            addError(tokenPosition(parser), "text follows after the end of the document");
            return Optional.empty();
        }
        return Optional.of(value);
    }

    private void addError(SourcePosition position, String message) {
        findings.add(Finding.error(position, "$", message));
    }

    private String syntaxErrorMessage(JsonProcessingException e) {
        boolean atEnd =
                e instanceof JsonEOFException
                        || (e.getLocation() != null
                                && e.getLocation().getCharOffset()
                                        >= text.stripTrailing().length());
        if (atEnd && !openContainers.isEmpty()) {
            SourcePosition start = openContainers.peek();
            return "the text ends inside the object or array that starts at line "
                    + start.line()
                    + ", column "
                    + start.column();
        }
        return "syntax error: " + e.getOriginalMessage().lines().findFirst().orElse("");
    }

    private SourceValue parseValue(JsonParser parser, String path) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> parseObject(parser, path);
            case START_ARRAY -> parseArray(parser, path);
            default -> parseScalar(parser, path);
        };
    }

    private SourceValue parseObject(JsonParser parser, String path) throws IOException {
        SourcePosition start = tokenPosition(parser);
        openContainers.push(start);
        Map<String, SourceMember> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            SourcePosition position = tokenPosition(parser);
            parser.nextToken();
            SourceMember member =
                    new SourceMember(name, position, parseValue(parser, path + "." + name));
            SourceMember first = members.putIfAbsent(name, member);
            if (first != null) {
                findings.add(
                        Finding.error(
                                position,
                                member.value().path(),
                                "the field \""
                                        + name
                                        + "\" is repeated; first at "
                                        + first.position()));
            }
        }
        openContainers.pop();
        return new SourceValue(
                SourceKind.OBJECT,
                path,
                start,
                endOffset(parser),
                "",
                List.copyOf(members.values()),
                List.of());
    }

    private SourceValue parseArray(JsonParser parser, String path) throws IOException {
        SourcePosition start = tokenPosition(parser);
        openContainers.push(start);
        List<SourceValue> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(parseValue(parser, path + "[" + elements.size() + "]"));
        }
        openContainers.pop();
        return new SourceValue(
                SourceKind.ARRAY, path, start, endOffset(parser), "", List.of(), elements);
    }

    private SourceValue parseScalar(JsonParser parser, String path) throws IOException {
        SourcePosition start = tokenPosition(parser);
        SourceKind kind =
                switch (parser.currentToken()) {
                    case VALUE_STRING -> SourceKind.STRING;
                    case VALUE_NUMBER_INT -> SourceKind.INTEGER;
                    case VALUE_NUMBER_FLOAT -> SourceKind.DECIMAL;
                    case VALUE_TRUE, VALUE_FALSE -> SourceKind.BOOLEAN;
                    default -> SourceKind.NULL;
                };
        // Strings are decoded lazily: only after getText is the end offset that of the token.
        String literal = parser.getText();
        return new SourceValue(kind, path, start, endOffset(parser), literal, List.of(), List.of());
    }

    private SourcePosition tokenPosition(JsonParser parser) {
        return toPosition(parser.currentTokenLocation());
    }

    private static int endOffset(JsonParser parser) {
        return (int) parser.currentLocation().getCharOffset();
    }

    private SourcePosition toPosition(JsonLocation location) {
        return new SourcePosition(
                file,
                Math.max(1, location.getLineNr()),
                Math.max(1, location.getColumnNr()),
                (int) Math.max(0, location.getCharOffset()));
    }
}
