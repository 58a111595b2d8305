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
 * Edits the text of a base file. Only the tokens concerned change; comments and layout elsewhere
 * stay. The result is not checked, callers pass it to {@link
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
     * Returns {@code base} with a key for {@code team}.
     *
     * @param hash SHA-256 of the key
     * @throws EditException if the syntax is wrong or the id is taken
     */
    public static String addKey(String base, String id, String team, String hash)
            throws EditException {
        return addGrant(
                base,
                "keys",
                id,
                String.format(
                        "{\"id\": %s, \"team\": %s, \"sha256\": %s}",
                        quoted(id), quoted(team), quoted(hash)));
    }

    /**
     * Returns {@code base} with an operator's key.
     *
     * @param hash SHA-256 of the key
     * @throws EditException if the syntax is wrong or the id is taken
     */
    public static String addOperator(String base, String id, String hash) throws EditException {
        return addGrant(
                base,
                "operators",
                id,
                String.format("{\"id\": %s, \"sha256\": %s}", quoted(id), quoted(hash)));
    }

    /**
     * Returns {@code base} without the team's or operator's key {@code id}.
     *
     * @throws EditException if the syntax is wrong or there is no such key
     */
    public static String withdrawKey(String base, String id) throws EditException {
        BaseEditor editor = parse(base);
        for (String list : List.of("keys", "operators")) {
            int index = indexOf(editor.root.elementsOf(list), "id", id);
            if (index >= 0) {
                editor.splicer.remove(editor.root.member(list).orElseThrow(), index);
                return editor.splicer.result();
            }
        }
        throw new EditException("there is no key with the id \"" + id + "\"");
    }

    /**
     * Returns {@code base} with a new or changed team.
     *
     * @throws EditException if the syntax is wrong, or if the team lacks weight or limit
     */
    public static String setTeam(String base, TeamEdit edit) throws EditException {
        BaseEditor editor = parse(base);
        List<SourceValue> teams = editor.root.elementsOf("teams");
        int index = indexOf(teams, "name", edit.name());
        if (index < 0) {
            editor.appendToList("teams", newTeam(edit));
        } else {
            editor.changeTeam(teams.get(index), edit);
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

    private static String addGrant(String base, String list, String id, String element)
            throws EditException {
        BaseEditor editor = parse(base);
        Optional<SourceValue> taken =
                Stream.of("keys", "operators")
                        .flatMap(name -> editor.root.elementsOf(name).stream())
                        .filter(grant -> grant.textOf("id").equals(Optional.of(id)))
                        .findFirst();
        if (taken.isPresent()) {
            throw new EditException(
                    "the key id \"" + id + "\" is taken by the one at " + taken.get().start());
        }
        editor.appendToList(list, element);
        return editor.splicer.result();
    }

    private void appendToList(String name, String element) throws EditException {
        Optional<SourceValue> list = root.member(name);
        if (list.isEmpty()) {
            append(root, quoted(name) + ": [\n    " + element + "\n  ]");
            return;
        }
        if (!list.get().is(SourceKind.ARRAY)) {
            throw new EditException("\"" + name + "\" must be an array");
        }
        List<Integer> ends = list.get().elements().stream().map(SourceValue::endOffset).toList();
        splicer.append(list.get(), ends, element);
    }

    private void append(SourceValue object, String member) {
        List<Integer> ends =
                object.members().stream()
                        .map(SourceMember::value)
                        .map(SourceValue::endOffset)
                        .toList();
        splicer.append(object, ends, member);
    }

    private void changeTeam(SourceValue team, TeamEdit edit) throws EditException {
        if (edit.weight().isPresent()) {
            if (team.member("weight").isEmpty()) {
                throw new EditException("the team \"" + edit.name() + "\" has no weight");
            }
            set(team, "weight", number(edit.weight().getAsDouble()));
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
                        () -> append(object, quoted(name) + ": " + literal));
    }

    private static String newTeam(TeamEdit edit) throws EditException {
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
                quoted(edit.name()),
                number(edit.weight().getAsDouble()),
                edit.cpuMillis().getAsLong(),
                edit.memoryMb().getAsLong(),
                edit.accelerators().orElse(0));
    }

    private static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private static int indexOf(List<SourceValue> objects, String field, String name) {
        for (int i = 0; i < objects.size(); i++) {
            if (objects.get(i).textOf(field).equals(Optional.of(name))) {
                return i;
            }
        }
        return -1;
    }

    private static String quoted(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }
}
