package org.jujubefork.config.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jujubefork.config.source.SourceKind;
import org.jujubefork.config.source.SourceMember;
import org.jujubefork.config.source.SourceParser;
import org.jujubefork.config.source.SourceText;
import org.jujubefork.config.source.SourceValue;

/** Computes the differences between two configuration documents, value by value. */
public final class ConfigurationDiff {
    private static final List<String> IDENTIFYING_FIELDS = List.of("name", "id");

    private ConfigurationDiff() {}

    /**
     * Returns the changes from {@code before} to {@code after}: those of the base, then those of
     * each overlay, each sorted by path. Versions are not compared. A text that differs only in
     * comments or layout, or that cannot be parsed, gives one change with a path such as {@code
     * base (comments or layout)}.
     */
    public static List<ConfigurationChange> of(
            ConfigurationDocument before, ConfigurationDocument after) {
        List<ConfigurationChange> changes =
                new ArrayList<>(
                        compare("base", Optional.of(before.base()), Optional.of(after.base())));
        SortedSet<String> sites = new TreeSet<>(before.overlays().keySet());
        sites.addAll(after.overlays().keySet());
        for (String site : sites) {
            changes.addAll(
                    compare(
                            "overlay " + site,
                            Optional.ofNullable(before.overlays().get(site)),
                            Optional.ofNullable(after.overlays().get(site))));
        }
        return List.copyOf(changes);
    }

    private static List<ConfigurationChange> compare(
            String name, Optional<String> before, Optional<String> after) {
        if (before.equals(after)) {
            return List.of();
        }
        Map<String, String> beforeLiterals = literalsByPath(name, before);
        Map<String, String> afterLiterals = literalsByPath(name, after);
        SortedSet<String> paths = new TreeSet<>(beforeLiterals.keySet());
        paths.addAll(afterLiterals.keySet());
        List<ConfigurationChange> changes =
                paths.stream()
                        .map(
                                path ->
                                        new ConfigurationChange(
                                                path,
                                                Optional.ofNullable(beforeLiterals.get(path)),
                                                Optional.ofNullable(afterLiterals.get(path))))
                        .filter(change -> !change.before().equals(change.after()))
                        .toList();
        if (!changes.isEmpty()) {
            return changes;
        }
        return List.of(
                new ConfigurationChange(
                        name + " (comments or layout)",
                        before.map(ConfigurationDiff::sizeText),
                        after.map(ConfigurationDiff::sizeText)));
    }

    private static String sizeText(String text) {
        return text.length() + " characters";
    }

    private static Map<String, String> literalsByPath(String name, Optional<String> text) {
        Map<String, String> values = new TreeMap<>();
        text.map(content -> SourceParser.parse(name, content))
                .flatMap(SourceText::root)
                .ifPresent(root -> root.members().forEach(m -> collect(name + " ", m, values)));
        return values;
    }

    private static void collect(String prefix, SourceMember member, Map<String, String> literals) {
        collect(prefix + member.name(), member.value(), literals);
    }

    private static void collect(String path, SourceValue value, Map<String, String> literals) {
        switch (value.kind()) {
            case OBJECT -> {
                if (value.members().isEmpty()) {
                    literals.put(path, "{}");
                }
                value.members().forEach(member -> collect(path + ".", member, literals));
            }
            case ARRAY -> {
                for (int i = 0; i < value.elements().size(); i++) {
                    SourceValue element = value.elements().get(i);
                    collect(path + "[" + elementLabel(element, i) + "]", element, literals);
                }
            }
            case STRING -> literals.put(path, "\"" + value.text() + "\"");
            default -> literals.put(path, value.text());
        }
    }

    /** Returns a label by content, so that an insertion does not relabel all later elements. */
    private static String elementLabel(SourceValue element, int index) {
        if (element.is(SourceKind.STRING)) {
            return element.text();
        }
        return IDENTIFYING_FIELDS.stream()
                .flatMap(field -> element.stringMember(field).stream())
                .findFirst()
                .orElse(Integer.toString(index));
    }
}
