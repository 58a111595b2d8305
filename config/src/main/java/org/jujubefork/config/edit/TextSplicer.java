package org.jujubefork.config.edit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.jujubefork.config.source.SourceValue;

/**
 * Collects edits of a parsed JSON text and applies them by offset, so that comments and layout
 * outside the edited tokens are preserved.
 */
final class TextSplicer {
    private static final int INDENT_SPACES = 2;

    private record Splice(int start, int end, String replacement) {}

    private final String text;
    private final List<Splice> splices = new ArrayList<>();

    TextSplicer(String text) {
        this.text = text;
    }

    /** Replaces the text of {@code value} by {@code literal}. */
    void replace(SourceValue value, String literal) {
        splices.add(new Splice(value.start().offset(), value.endOffset(), literal));
    }

    /**
     * Appends {@code item}, the text of a member or element, to an object or array.
     *
     * @param itemEnds the end offsets of the existing items, ascending
     */
    void append(SourceValue container, List<Integer> itemEnds, String item) {
        int closingOffset = container.endOffset() - 1;
        int from = itemEnds.isEmpty() ? container.start().offset() + 1 : itemEnds.getLast();
        int offset = contentEndBefore(closingOffset, from);
        String containerIndent = indentOfLine(container.start().offset());
        String indent =
                itemEnds.isEmpty() || isOnOneLine(container.start().offset(), itemEnds.getLast())
                        ? containerIndent + " ".repeat(INDENT_SPACES)
                        : indentOfLine(itemEnds.getLast());
        if (!itemEnds.isEmpty()) {
            splices.add(new Splice(itemEnds.getLast(), itemEnds.getLast(), ","));
        }
        boolean closesOnOwnLine = text.substring(offset, closingOffset).contains("\n");
        String tail = closesOnOwnLine ? "" : "\n" + containerIndent;
        splices.add(new Splice(offset, offset, "\n" + indent + item + tail));
    }

    /** Removes the element at {@code index} of {@code array} and one adjacent comma, if any. */
    void remove(SourceValue array, int index) {
        SourceValue element = array.elements().get(index);
        int start = element.start().offset();
        int end = element.endOffset();
        boolean last = index == array.elements().size() - 1;
        if (!last) {
            int comma = findComma(end, array.elements().get(index + 1).start().offset());
            splices.add(new Splice(comma, comma + 1, ""));
        } else if (index > 0) {
            int comma = findComma(array.elements().get(index - 1).endOffset(), start);
            splices.add(new Splice(comma, comma + 1, ""));
        }
        int lineStart = text.lastIndexOf('\n', start - 1) + 1;
        boolean startsLine = text.substring(lineStart, start).isBlank();
        int endWithComma = !last && text.charAt(end) == ',' ? end + 1 : end;
        boolean endsLine = endWithComma < text.length() && text.charAt(endWithComma) == '\n';
        if (startsLine && endsLine) {
            splices.add(new Splice(lineStart, end, ""));
            splices.add(new Splice(endWithComma, endWithComma + 1, ""));
        } else {
            splices.add(new Splice(start, end, ""));
        }
    }

    /** Returns the text with all edits applied. */
    String result() {
        // The sort is stable, so insertions at the same offset remain in the order of the calls.
        List<Splice> ordered =
                splices.stream().sorted(Comparator.comparingInt(Splice::start)).toList();
        StringBuilder result = new StringBuilder();
        int position = 0;
        for (Splice splice : ordered) {
            result.append(text, position, splice.start()).append(splice.replacement());
            position = splice.end();
        }
        return result.append(text, position, text.length()).toString();
    }

    /** Returns the offset after the last non-whitespace character before {@code end}. */
    private int contentEndBefore(int end, int from) {
        int offset = end;
        while (offset > from && Character.isWhitespace(text.charAt(offset - 1))) {
            offset--;
        }
        return offset;
    }

    private boolean isOnOneLine(int start, int end) {
        return text.indexOf('\n', start) < 0 || text.indexOf('\n', start) >= end;
    }

    private String indentOfLine(int offset) {
        int lineStart = text.lastIndexOf('\n', offset - 1) + 1;
        int end = lineStart;
        while (end < offset && (text.charAt(end) == ' ' || text.charAt(end) == '\t')) {
            end++;
        }
        return text.substring(lineStart, end);
    }

    /** Returns the offset of the comma between two elements, ignoring commas in comments. */
    private int findComma(int from, int to) {
        int offset = from;
        while (offset < to && text.charAt(offset) != ',') {
            if (text.startsWith("//", offset)) {
                offset = text.indexOf('\n', offset);
            } else if (text.startsWith("/*", offset)) {
                offset = text.indexOf("*/", offset) + 2;
            } else {
                offset++;
            }
        }
        return offset;
    }
}
