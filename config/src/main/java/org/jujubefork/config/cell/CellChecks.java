package org.jujubefork.config.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.jujubefork.config.source.Finding;
import org.jujubefork.config.source.NearestName;
import org.jujubefork.config.source.SourceKind;
import org.jujubefork.config.source.SourceValue;

/**
 * Checks values of a configuration against each other. Values of a wrong type are passed over here,
 * because {@link org.jujubefork.config.schema.ShapeChecker} reports them.
 */
final class CellChecks {
    private static final List<String> RESOURCES = List.of("cpuMillis", "memoryMb", "accelerators");

    private final SourceValue base;
    private final Consumer<Finding> findings;

    private CellChecks(SourceValue base, Consumer<Finding> findings) {
        this.base = base;
        this.findings = findings;
    }

    /** Checks the base file {@code base}. */
    static void checkBase(SourceValue base, Consumer<Finding> findings) {
        CellChecks checks = new CellChecks(base, findings);
        List<SourceValue> keys = base.elementsOf("keys");
        List<SourceValue> operators = base.elementsOf("operators");
        List<SourceValue> grants = Stream.concat(keys.stream(), operators.stream()).toList();
        checks.requireUnique(texts(base.elementsOf("sites")), "site");
        checks.requireUnique(members(base.elementsOf("teams"), "name"), "team");
        checks.requireUnique(members(base.elementsOf("queues"), "name"), "queue");
        checks.requireUnique(members(grants, "id"), "key id");
        checks.requireUnique(members(grants, "sha256"), "key hash");
        checks.requireKnownTeams(keys);
        checks.requireKnownTeams(base.elementsOf("queues"));
        checks.requireSizesWithinLimits();
        checks.warnOfTeamsWithoutQueue();
        checks.warnOfMissingOperators(operators);
        if (base.member("sites").filter(sites -> sites.elements().isEmpty()).isPresent()) {
            checks.error(base.member("sites").orElseThrow(), "at least one site is needed");
        }
    }

    /** Checks that {@code base} lists the site of {@code overlay}. */
    static void checkSite(SourceValue overlay, SourceValue base, Consumer<Finding> findings) {
        List<String> sites = values(texts(base.elementsOf("sites")));
        overlay.member("site")
                .filter(site -> site.is(SourceKind.TEXT) && !sites.contains(site.text()))
                .ifPresent(
                        site ->
                                findings.accept(
                                        Finding.error(
                                                site.start(),
                                                site.path(),
                                                "the base does not list the site \""
                                                        + site.text()
                                                        + "\""
                                                        + nearest(site.text(), sites))));
    }

    private void requireUnique(List<SourceValue> names, String what) {
        Map<String, SourceValue> seen = new HashMap<>();
        for (SourceValue name : names) {
            SourceValue first = seen.putIfAbsent(name.text(), name);
            if (first != null) {
                error(
                        name,
                        "the "
                                + what
                                + " \""
                                + name.text()
                                + "\" is used twice; first at "
                                + first.start());
            }
        }
    }

    private void requireKnownTeams(List<SourceValue> users) {
        List<String> teams = values(members(base.elementsOf("teams"), "name"));
        for (SourceValue team : members(users, "team")) {
            if (!teams.contains(team.text())) {
                error(
                        team,
                        "the team \""
                                + team.text()
                                + "\" is not declared"
                                + nearest(team.text(), teams));
            }
        }
    }

    private void requireSizesWithinLimits() {
        Map<String, SourceValue> limits = new HashMap<>();
        for (SourceValue team : base.elementsOf("teams")) {
            Optional<SourceValue> limit = team.member("limit");
            team.textOf("name")
                    .ifPresent(name -> limit.ifPresent(value -> limits.putIfAbsent(name, value)));
        }
        for (SourceValue queue : base.elementsOf("queues")) {
            Optional<SourceValue> limit = queue.textOf("team").map(limits::get);
            Optional<SourceValue> size = queue.member("size");
            if (limit.isPresent() && size.isPresent()) {
                requireWithin(size.get(), limit.get());
            }
        }
    }

    private void requireWithin(SourceValue size, SourceValue limit) {
        for (String resource : RESOURCES) {
            long wanted = number(size, resource);
            long allowed = number(limit, resource);
            if (wanted > allowed) {
                error(
                        size.member(resource).orElse(size),
                        resource
                                + " of the queue ("
                                + wanted
                                + ") is above the limit of its team ("
                                + allowed
                                + ") at "
                                + limit.member(resource).orElse(limit).start()
                                + ", so none of its work could start");
            }
        }
    }

    private void warnOfTeamsWithoutQueue() {
        Set<String> used = new HashSet<>(values(members(base.elementsOf("queues"), "team")));
        for (SourceValue name : members(base.elementsOf("teams"), "name")) {
            if (!used.contains(name.text())) {
                warning(name, "the team \"" + name.text() + "\" has no queue");
            }
        }
    }

    private void warnOfMissingOperators(List<SourceValue> operators) {
        if (operators.isEmpty()) {
            warning(
                    base.member("operators").orElse(base),
                    "no operator has a key, so nobody could change this configuration");
        }
    }

    private void error(SourceValue value, String message) {
        findings.accept(Finding.error(value.start(), value.path(), message));
    }

    private void warning(SourceValue value, String message) {
        findings.accept(Finding.warning(value.start(), value.path(), message));
    }

    private static List<SourceValue> members(List<SourceValue> objects, String name) {
        return texts(objects.stream().flatMap(object -> object.member(name).stream()).toList());
    }

    private static List<SourceValue> texts(List<SourceValue> values) {
        return values.stream().filter(value -> value.is(SourceKind.TEXT)).toList();
    }

    private static List<String> values(List<SourceValue> texts) {
        return texts.stream().map(SourceValue::text).toList();
    }

    private static String nearest(String name, Collection<String> known) {
        return NearestName.find(name, known)
                .map(best -> "; the nearest is \"" + best + "\"")
                .orElse("");
    }

    /** Returns the whole number {@code name}, or 0 if it is missing or wrong. */
    private static long number(SourceValue object, String name) {
        try {
            return object.member(name)
                    .filter(value -> value.is(SourceKind.WHOLE))
                    .map(value -> Long.parseLong(value.text()))
                    .orElse(0L);
        } catch (NumberFormatException _) {
            return 0;
        }
    }
}
