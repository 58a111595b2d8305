package org.jujubefork.config.edit;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.jujubefork.config.source.Finding;
import org.jujubefork.config.source.SourceKind;
import org.jujubefork.config.source.SourceMember;
import org.jujubefork.config.source.SourceParser;
import org.jujubefork.config.source.SourceText;
import org.jujubefork.config.source.SourceValue;

/**
 * Edits the text of a base file. Only the affected tokens change; all other comments and layout are
 * preserved. The result is not validated; callers pass it to {@link
 * org.jujubefork.config.cell.CellReader}.
 */
public final class BaseEditor {
    private final SourceValue root;
    private final TextSplicer splicer;

    private BaseEditor(SourceValue root, String text) {
        this.root = root;
        this.splicer = new TextSplicer(text);
    }

    /**
     * Returns {@code base} with an additional access key for {@code team}.
     *
     * @param hash the SHA-256 hash of the key in lower-case hexadecimal digits
     * @throws EditException if {@code base} has syntax errors or a key has this id already
     */
    public static String addKey(String base, String id, String team, String hash)
            throws EditException {
        return appendKey(
                base,
                "keys",
                id,
                String.format(
                        "{\"id\": %s, \"team\": %s, \"sha256\": %s}",
                        stringLiteral(id), stringLiteral(team), stringLiteral(hash)));
    }

    /**
     * Returns {@code base} with an additional operator key.
     *
     * @param hash the SHA-256 hash of the key in lower-case hexadecimal digits
     * @throws EditException if {@code base} has syntax errors or a key has this id already
     */
    public static String addOperator(String base, String id, String hash) throws EditException {
        return appendKey(
                base,
                "operators",
                id,
                String.format(
                        "{\"id\": %s, \"sha256\": %s}", stringLiteral(id), stringLiteral(hash)));
    }

    /**
     * Returns {@code base} without the team or operator key {@code id}.
     *
     * @throws EditException if {@code base} has syntax errors or has no key with this id
     */
    public static String withdrawKey(String base, String id) throws EditException {
        BaseEditor editor = parse(base);
        for (String list : List.of("keys", "operators")) {
            int index = indexOf(editor.root.elementsOfMember(list), "id", id);
            if (index >= 0) {
                editor.splicer.remove(editor.root.member(list).orElseThrow(), index);
                return editor.splicer.result();
            }
        }
        throw new EditException("there is no key with the id \"" + id + "\"");
    }

    /**
     * Returns {@code base} with a team added or updated.
     *
     * @throws EditException if {@code base} has syntax errors, or if a new team is given without
     *     weight, processor or memory, or if an existing one has no weight or limit to change
     */
    public static String setTeam(String base, TeamEdit edit) throws EditException {
        BaseEditor editor = parse(base);
        List<SourceValue> teams = editor.root.elementsOfMember("teams");
        int index = indexOf(teams, "name", edit.name());
        if (index < 0) {
            editor.appendElement("teams", newTeamLiteral(edit));
        } else {
            editor.updateTeam(teams.get(index), edit);
        }
        return editor.splicer.result();
    }

    private static BaseEditor parse(String base) throws EditException {
        SourceText source = SourceParser.parse("base", base);
        if (!source.findings().isEmpty()) {
            throw new EditException(
                    "the base text must be corrected first: "
                            + source.findings().stream().map(Finding::toString).toList());
        }
        SourceValue root = source.root().orElseThrow();
        if (!root.is(SourceKind.OBJECT)) {
            throw new EditException("the base text must be an object");
        }
        return new BaseEditor(root, base);
    }

    private static String appendKey(String base, String list, String id, String element)
            throws EditException {
        BaseEditor editor = parse(base);
        Optional<SourceValue> existing =
                Stream.of("keys", "operators")
                        .flatMap(name -> editor.root.elementsOfMember(name).stream())
                        .filter(key -> key.stringMember("id").equals(Optional.of(id)))
                        .findFirst();
        if (existing.isPresent()) {
            throw new EditException(
                    "the key id \""
                            + id
                            + "\" is already used by the key at "
                            + existing.get().start());
        }
        editor.appendElement(list, element);
        return editor.splicer.result();
    }

    private void appendElement(String name, String element) throws EditException {
        Optional<SourceValue> list = root.member(name);
        if (list.isEmpty()) {
            appendMember(root, stringLiteral(name) + ": [\n    " + element + "\n  ]");
            return;
        }
        if (!list.get().is(SourceKind.ARRAY)) {
            throw new EditException("\"" + name + "\" must be an array");
        }
        List<Integer> itemEnds =
                list.get().elements().stream().map(SourceValue::endOffset).toList();
        splicer.append(list.get(), itemEnds, element);
    }

    private void appendMember(SourceValue object, String member) {
        List<Integer> itemEnds =
                object.members().stream()
                        .map(SourceMember::value)
                        .map(SourceValue::endOffset)
                        .toList();
        splicer.append(object, itemEnds, member);
    }

    private void updateTeam(SourceValue team, TeamEdit edit) throws EditException {
        if (edit.weight().isPresent()) {
            if (team.member("weight").isEmpty()) {
                throw new EditException("the team \"" + edit.name() + "\" has no weight");
            }
            set(team, "weight", numberLiteral(edit.weight().getAsDouble()));
        }
        Optional<SourceValue> limit = team.member("limit");
        if (limit.isEmpty()) {
            throw new EditException("the team \"" + edit.name() + "\" has no limit to change");
        }
        for (String resource : List.of("cpuMillis", "memoryMb")) {
            if (limit.get().member(resource).isEmpty()) {
                throw new EditException(
                        "the limit of the team \"" + edit.name() + "\" has no " + resource);
            }
        }
        setIfPresent(limit.get(), "cpuMillis", edit.cpuMillis());
        setIfPresent(limit.get(), "memoryMb", edit.memoryMb());
        setIfPresent(limit.get(), "accelerators", edit.accelerators());
    }

    private void setIfPresent(SourceValue object, String name, OptionalLong value) {
        if (value.isPresent()) {
            set(object, name, Long.toString(value.getAsLong()));
        }
    }

    private void set(SourceValue object, String name, String literal) {
        object.member(name)
                .ifPresentOrElse(
                        value -> splicer.replace(value, literal),
                        () -> appendMember(object, stringLiteral(name) + ": " + literal));
    }

    private static String newTeamLiteral(TeamEdit edit) throws EditException {
        if (edit.weight().isEmpty() || edit.cpuMillis().isEmpty() || edit.memoryMb().isEmpty()) {
            throw new EditException(
                    "the team \""
                            + edit.name()
                            + "\" is new, so it needs weight, processor and memory");
        }
        return String.format(
                Locale.ROOT,
                "{\"name\": %s, \"weight\": %s, \"limit\": {\"cpuMillis\": %d, \"memoryMb\": %d,"
                        + " \"accelerators\": %d}}",
                stringLiteral(edit.name()),
                numberLiteral(edit.weight().getAsDouble()),
                edit.cpuMillis().getAsLong(),
                edit.memoryMb().getAsLong(),
                edit.accelerators().orElse(0));
    }

    private static String numberLiteral(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private static int indexOf(List<SourceValue> objects, String field, String name) {
        for (int i = 0; i < objects.size(); i++) {
            if (objects.get(i).stringMember(field).equals(Optional.of(name))) {
                return i;
            }
        }
        return -1;
    }

    private static String stringLiteral(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }
}
