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
 * Checks values of a configuration against each other. Values of a wrong type are ignored here,
 * because {@link org.jujubefork.config.schema.TypeChecker} reports them.
 */
final class CellChecks {
    private static final List<String> RESOURCE_FIELDS =
            List.of("cpuMillis", "memoryMb", "accelerators");

    private final SourceValue base;
    private final Consumer<Finding> findings;

    private CellChecks(SourceValue base, Consumer<Finding> findings) {
        this.base = base;
        this.findings = findings;
    }

    /** Checks names, references, limits and keys within the base file. */
    static void checkBase(SourceValue base, Consumer<Finding> findings) {
        CellChecks checks = new CellChecks(base, findings);
        List<SourceValue> keys = base.elementsOfMember("keys");
        List<SourceValue> operators = base.elementsOfMember("operators");
        List<SourceValue> allKeys = Stream.concat(keys.stream(), operators.stream()).toList();
        checks.requireUnique(onlyStrings(base.elementsOfMember("sites")), "site");
        checks.requireUnique(stringMembers(base.elementsOfMember("teams"), "name"), "team");
        checks.requireUnique(stringMembers(base.elementsOfMember("queues"), "name"), "queue");
        checks.requireUnique(stringMembers(allKeys, "id"), "key id");
        checks.requireUnique(stringMembers(allKeys, "sha256"), "key hash");
        checks.requireKnownTeams(keys);
        checks.requireKnownTeams(base.elementsOfMember("queues"));
        checks.requireQueueSizesWithinTeamLimits();
        checks.warnAboutTeamsWithoutQueue();
        checks.warnAboutMissingOperators(operators);
        if (base.member("sites").filter(sites -> sites.elements().isEmpty()).isPresent()) {
            checks.error(base.member("sites").orElseThrow(), "at least one site is needed");
        }
    }

    /** Checks that {@code base} lists the site of {@code overlay}. */
    static void checkSite(SourceValue overlay, SourceValue base, Consumer<Finding> findings) {
        List<String> sites = toStrings(onlyStrings(base.elementsOfMember("sites")));
        overlay.member("site")
                .filter(site -> site.is(SourceKind.STRING) && !sites.contains(site.text()))
                .ifPresent(
                        site ->
                                findings.accept(
                                        Finding.error(
                                                site.start(),
                                                site.path(),
                                                "the base does not list the site \""
                                                        + site.text()
                                                        + "\""
                                                        + nearestNameHint(site.text(), sites))));
    }

    private void requireUnique(List<SourceValue> names, String description) {
        Map<String, SourceValue> seen = new HashMap<>();
        for (SourceValue name : names) {
            SourceValue first = seen.putIfAbsent(name.text(), name);
            if (first != null) {
                error(
                        name,
                        "the "
                                + description
                                + " \""
                                + name.text()
                                + "\" is used twice; first at "
                                + first.start());
            }
        }
    }

    private void requireKnownTeams(List<SourceValue> references) {
        List<String> teams = toStrings(stringMembers(base.elementsOfMember("teams"), "name"));
        for (SourceValue team : stringMembers(references, "team")) {
            if (!teams.contains(team.text())) {
                error(
                        team,
                        "the team \""
                                + team.text()
                                + "\" is not declared"
                                + nearestNameHint(team.text(), teams));
            }
        }
    }

    private void requireQueueSizesWithinTeamLimits() {
        Map<String, SourceValue> limits = new HashMap<>();
        for (SourceValue team : base.elementsOfMember("teams")) {
            Optional<SourceValue> limit = team.member("limit");
            team.stringMember("name")
                    .ifPresent(name -> limit.ifPresent(value -> limits.putIfAbsent(name, value)));
        }
        for (SourceValue queue : base.elementsOfMember("queues")) {
            Optional<SourceValue> limit = queue.stringMember("team").map(limits::get);
            Optional<SourceValue> size = queue.member("size");
            if (limit.isPresent() && size.isPresent()) {
                requireSizeWithinLimit(size.get(), limit.get());
            }
        }
    }

    private void requireSizeWithinLimit(SourceValue size, SourceValue limit) {
        for (String resource : RESOURCE_FIELDS) {
            long requested = longOrZero(size, resource);
            long allowed = longOrZero(limit, resource);
            if (requested > allowed) {
                error(
                        size.member(resource).orElse(size),
                        resource
                                + " of the queue ("
                                + requested
                                + ") is above the limit of its team ("
                                + allowed
                                + ") at "
                                + limit.member(resource).orElse(limit).start()
                                + ", so none of its work could start");
            }
        }
    }

    private void warnAboutTeamsWithoutQueue() {
        Set<String> teamsWithQueue =
                new HashSet<>(toStrings(stringMembers(base.elementsOfMember("queues"), "team")));
        for (SourceValue name : stringMembers(base.elementsOfMember("teams"), "name")) {
            if (!teamsWithQueue.contains(name.text())) {
                warning(name, "the team \"" + name.text() + "\" has no queue");
            }
        }
    }

    private void warnAboutMissingOperators(List<SourceValue> operators) {
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

    private static List<SourceValue> stringMembers(List<SourceValue> objects, String name) {
        return onlyStrings(
                objects.stream().flatMap(object -> object.member(name).stream()).toList());
    }

    private static List<SourceValue> onlyStrings(List<SourceValue> values) {
        return values.stream().filter(value -> value.is(SourceKind.STRING)).toList();
    }

    private static List<String> toStrings(List<SourceValue> texts) {
        return texts.stream().map(SourceValue::text).toList();
    }

    private static String nearestNameHint(String name, Collection<String> known) {
        return NearestName.find(name, known)
                .map(best -> "; the nearest is \"" + best + "\"")
                .orElse("");
    }

    /** Returns the integer in the member {@code name}, or 0 if it is missing or no integer. */
    private static long longOrZero(SourceValue object, String name) {
        try {
            return object.member(name)
                    .filter(value -> value.is(SourceKind.INTEGER))
                    .map(value -> Long.parseLong(value.text()))
                    .orElse(0L);
        } catch (NumberFormatException _) {
            return 0;
        }
    }
}
