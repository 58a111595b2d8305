package org.jujubefork.config.cell;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jujubefork.config.schema.FieldValues;
import org.jujubefork.config.schema.ShapeChecker;
import org.jujubefork.config.source.Finding;
import org.jujubefork.config.source.SourceMember;
import org.jujubefork.config.source.SourceParser;
import org.jujubefork.config.source.SourcePlace;
import org.jujubefork.config.source.SourceText;
import org.jujubefork.config.source.SourceValue;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.KeyGrant;
import org.jujubefork.core.configuration.KindPolicy;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Reads a base file and its overlays, checks them and merges them for each site. An overlay's
 * policies and figures replace those of the base one by one.
 */
public final class CellReader {
    private final CellSchema schema;

    private CellReader(CellSchema schema) {
        this.schema = schema;
    }

    /** Returns a reader that accepts the policies in {@code names}. */
    public static CellReader of(PolicyNames names) {
        return new CellReader(CellSchema.of(names));
    }

    /**
     * Reads the texts of {@code document}. Findings refer to them as {@code base.jsonc} and {@code
     * SITE.jsonc}.
     */
    public CellReading read(ConfigurationDocument document) {
        List<Finding> findings = new ArrayList<>();
        Map<String, SourceText> overlays = new TreeMap<>();
        document.overlays()
                .forEach(
                        (site, text) -> {
                            SourceText overlay = SourceParser.parse(site + ".jsonc", text);
                            overlays.put(site, overlay);
                            checkFiledUnder(site, overlay, findings::add);
                        });
        SourceText base = SourceParser.parse("base.jsonc", document.base());
        return read(document, base, overlays, findings);
    }

    /**
     * Reads texts from files. The site of an overlay is the one that it names.
     *
     * @param version the version of the resulting document and configurations
     */
    public CellReading read(long version, NamedText base, List<NamedText> overlays) {
        List<Finding> findings = new ArrayList<>();
        Map<String, SourceText> bySite = new TreeMap<>();
        Map<String, String> texts = new TreeMap<>();
        for (NamedText overlay : overlays) {
            SourceText source = SourceParser.parse(overlay.name(), overlay.text());
            // An overlay that names no site is checked too, under its file name.
            String site = siteOf(source).map(SourceValue::text).orElse(overlay.name());
            SourceText first = bySite.putIfAbsent(site, source);
            if (first == null) {
                texts.put(site, overlay.text());
            } else {
                findings.add(
                        Finding.error(
                                siteOf(source).orElseThrow().start(),
                                "$.site",
                                "the site \""
                                        + site
                                        + "\" has two overlays; first at "
                                        + siteOf(first).orElseThrow().start()));
            }
        }
        return read(
                ConfigurationDocument.of(version, base.text(), texts),
                SourceParser.parse(base.name(), base.text()),
                bySite,
                findings);
    }

    private CellReading read(
            ConfigurationDocument document,
            SourceText base,
            Map<String, SourceText> overlays,
            List<Finding> findings) {
        findings.addAll(base.findings());
        base.root()
                .ifPresent(
                        root -> {
                            ShapeChecker.check(root, schema.base(), findings::add);
                            CellChecks.checkBase(root, findings::add);
                        });
        for (SourceText overlay : overlays.values()) {
            findings.addAll(overlay.findings());
            overlay.root().ifPresent(root -> checkOverlay(root, base.root(), findings::add));
        }
        checkSize(document, base.file(), findings::add);
        findings.sort(
                Comparator.comparing((Finding finding) -> !finding.file().equals(base.file()))
                        .thenComparing(Finding::file)
                        .thenComparing(Finding.BY_PLACE));
        Map<String, Configuration> configurations = new TreeMap<>();
        if (!Finding.anyError(findings)) {
            SourceValue root = base.root().orElseThrow();
            for (SourceValue site : root.elementsOf("sites")) {
                Optional<SourceValue> overlay =
                        Optional.ofNullable(overlays.get(site.text())).flatMap(SourceText::root);
                configurations.put(site.text(), merge(document.version(), root, overlay));
            }
        }
        return new CellReading(document, configurations, findings);
    }

    private static void checkSize(
            ConfigurationDocument document, String file, Consumer<Finding> findings) {
        int size =
                ConfigurationDocumentCodec.encode(document).getBytes(StandardCharsets.UTF_8).length;
        if (size > ConfigurationDocumentCodec.MAX_BYTES) {
            findings.accept(
                    Finding.error(
                            new SourcePlace(file, 1, 1, 0),
                            "$",
                            "base and overlays take "
                                    + size
                                    + " bytes in the store, more than "
                                    + ConfigurationDocumentCodec.MAX_BYTES));
        }
    }

    private static Optional<SourceValue> siteOf(SourceText overlay) {
        return overlay.root()
                .flatMap(root -> root.member("site"))
                .filter(site -> !site.text().isEmpty());
    }

    private static void checkFiledUnder(
            String site, SourceText overlay, Consumer<Finding> findings) {
        siteOf(overlay)
                .filter(named -> !named.text().equals(site))
                .ifPresent(
                        named ->
                                findings.accept(
                                        Finding.error(
                                                named.start(),
                                                named.path(),
                                                "the overlay of the site \""
                                                        + site
                                                        + "\" names the site \""
                                                        + named.text()
                                                        + "\"")));
    }

    private void checkOverlay(
            SourceValue root, Optional<SourceValue> base, Consumer<Finding> findings) {
        List<SourceMember> local = new ArrayList<>();
        for (SourceMember member : root.members()) {
            boolean fleetWide =
                    schema.overlay().field(member.name()).isEmpty()
                            && schema.base().field(member.name()).isPresent();
            if (fleetWide) {
                findings.accept(
                        Finding.error(
                                member.place(),
                                member.value().path(),
                                "\""
                                        + member.name()
                                        + "\" is fleet-wide and belongs into the base file; an"
                                        + " overlay holds only site, policies and tuning"));
            } else {
                local.add(member);
            }
        }
        SourceValue localOnly =
                new SourceValue(
                        root.kind(),
                        root.path(),
                        root.start(),
                        root.endOffset(),
                        root.text(),
                        local,
                        root.elements());
        ShapeChecker.check(localOnly, schema.overlay(), findings);
        base.ifPresent(baseRoot -> CellChecks.checkSite(root, baseRoot, findings));
    }

    private Configuration merge(long version, SourceValue base, Optional<SourceValue> overlay) {
        FieldValues fleet = FieldValues.of(List.of(base), schema.base());
        List<SourceValue> layers = new ArrayList<>();
        overlay.ifPresent(layers::add);
        layers.add(base);
        FieldValues site = FieldValues.of(layers, schema.base());
        FieldValues cell = fleet.section("cell");
        return new Configuration(
                version,
                cell.text("name"),
                cell.wholeInt("expectedEntries"),
                cell.wholeInt("shardsPerZone"),
                cell.wholeInt("claimRetentionHours"),
                teams(fleet),
                queues(fleet),
                keys(fleet),
                policies(site.section("policies")),
                tuning(site.section("tuning")));
    }

    private static PMap<TeamId, Team> teams(FieldValues fleet) {
        PMap<TeamId, Team> teams = HashTreePMap.empty();
        for (FieldValues team : fleet.structures("teams")) {
            TeamId id = TeamId.of(team.text("name"));
            Resources limit = resources(team.section("limit"));
            teams = teams.plus(id, new Team(id, team.decimal("weight"), limit));
        }
        return teams;
    }

    private static PMap<QueueId, Queue> queues(FieldValues fleet) {
        PMap<QueueId, Queue> queues = HashTreePMap.empty();
        for (FieldValues queue : fleet.structures("queues")) {
            QueueId id = QueueId.of(queue.text("name"));
            queues =
                    queues.plus(
                            id,
                            new Queue(
                                    id,
                                    TeamId.of(queue.text("team")),
                                    queue.flag("open"),
                                    WorkKind.valueOf(queue.text("kind").toUpperCase(Locale.ROOT)),
                                    resources(queue.section("size")),
                                    queue.flag("urgent"),
                                    queue.whole("timeoutMillis"),
                                    queue.wholeInt("maxQueued")));
        }
        return queues;
    }

    private static PMap<String, KeyGrant> keys(FieldValues fleet) {
        PMap<String, KeyGrant> keys = HashTreePMap.empty();
        for (FieldValues key : fleet.structures("keys")) {
            Optional<TeamId> team = Optional.of(TeamId.of(key.text("team")));
            keys = keys.plus(key.text("sha256"), grant(key, team));
        }
        for (FieldValues operator : fleet.structures("operators")) {
            keys = keys.plus(operator.text("sha256"), grant(operator, Optional.empty()));
        }
        return keys;
    }

    private static KeyGrant grant(FieldValues key, Optional<TeamId> team) {
        return new KeyGrant(key.text("id"), key.text("sha256"), team);
    }

    private static PMap<WorkKind, KindPolicy> policies(FieldValues site) {
        PMap<WorkKind, KindPolicy> policies = HashTreePMap.empty();
        for (WorkKind kind : WorkKind.values()) {
            FieldValues policy = site.section(CellSchema.nameOf(kind));
            policies =
                    policies.plus(
                            kind, new KindPolicy(policy.text("order"), policy.text("placement")));
        }
        return policies;
    }

    private static Tuning tuning(FieldValues site) {
        return new Tuning(
                site.whole("reclaimAfterMillis"),
                site.whole("gangReserveAfterMillis"),
                resources(site.section("requestReserve")),
                site.wholeInt("reservedSlots"),
                site.wholeInt("maxQueuedTotal"),
                site.wholeInt("maxAttempts"),
                site.wholeInt("quarantineFailures"),
                site.whole("quarantineWindowMillis"),
                site.whole("crossZoneCostMillis"),
                site.whole("crossRegionCostMillis"));
    }

    private static Resources resources(FieldValues values) {
        return Resources.of(
                values.whole("cpuMillis"), values.whole("memoryMb"), values.whole("accelerators"));
    }
}
