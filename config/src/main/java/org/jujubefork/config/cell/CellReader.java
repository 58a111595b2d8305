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
import org.jujubefork.config.schema.TypeChecker;
import org.jujubefork.config.source.Finding;
import org.jujubefork.config.source.SourceMember;
import org.jujubefork.config.source.SourceParser;
import org.jujubefork.config.source.SourcePosition;
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
 * Parses and validates a base file and its overlays, and merges them for each site. Each policy or
 * tuning value in an overlay replaces that of the base; values that it omits come from the base.
 */
public final class CellReader {
    private final CellSchema schema;

    private CellReader(CellSchema schema) {
        this.schema = schema;
    }

    /** Returns a reader that rejects policies other than {@code names}. */
    public static CellReader of(PolicyNames names) {
        return new CellReader(CellSchema.of(names));
    }

    /**
     * Reads the texts of a stored document. Findings name them {@code base.jsonc} and {@code
     * SITE.jsonc}.
     */
    public CellReadResult read(ConfigurationDocument document) {
        List<Finding> findings = new ArrayList<>();
        Map<String, SourceText> overlays = new TreeMap<>();
        document.overlays()
                .forEach(
                        (site, text) -> {
                            SourceText overlay = SourceParser.parse(site + ".jsonc", text);
                            overlays.put(site, overlay);
                            checkSiteField(site, overlay, findings::add);
                        });
        SourceText base = SourceParser.parse("base.jsonc", document.base());
        return read(document, base, overlays, findings);
    }

    /**
     * Reads the texts of files. The site of an overlay is the value of its field {@code site}.
     *
     * @param version the version of the resulting document and configurations
     */
    public CellReadResult read(long version, NamedText base, List<NamedText> overlays) {
        List<Finding> findings = new ArrayList<>();
        Map<String, SourceText> overlaysBySite = new TreeMap<>();
        Map<String, String> overlayTexts = new TreeMap<>();
        for (NamedText overlay : overlays) {
            SourceText source = SourceParser.parse(overlay.name(), overlay.text());
            // An overlay without a site is validated too; its file name serves as the key.
            String site = siteOf(source).map(SourceValue::text).orElse(overlay.name());
            SourceText first = overlaysBySite.putIfAbsent(site, source);
            if (first == null) {
                overlayTexts.put(site, overlay.text());
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
                ConfigurationDocument.of(version, base.text(), overlayTexts),
                SourceParser.parse(base.name(), base.text()),
                overlaysBySite,
                findings);
    }

    private CellReadResult read(
            ConfigurationDocument document,
            SourceText base,
            Map<String, SourceText> overlays,
            List<Finding> findings) {
        findings.addAll(base.findings());
        base.root()
                .ifPresent(
                        root -> {
                            TypeChecker.check(root, schema.base(), findings::add);
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
                        .thenComparing(Finding.BY_POSITION));
        Map<String, Configuration> configurations = new TreeMap<>();
        if (!Finding.anyError(findings)) {
            SourceValue root = base.root().orElseThrow();
            for (SourceValue site : root.elementsOfMember("sites")) {
                Optional<SourceValue> overlay =
                        Optional.ofNullable(overlays.get(site.text())).flatMap(SourceText::root);
                configurations.put(site.text(), merge(document.version(), root, overlay));
            }
        }
        return new CellReadResult(document, configurations, findings);
    }

    private static void checkSize(
            ConfigurationDocument document, String file, Consumer<Finding> findings) {
        int size =
                ConfigurationDocumentCodec.encode(document).getBytes(StandardCharsets.UTF_8).length;
        if (size > ConfigurationDocumentCodec.MAX_BYTES) {
            findings.accept(
                    Finding.error(
                            new SourcePosition(file, 1, 1, 0),
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

    private static void checkSiteField(
            String site, SourceText overlay, Consumer<Finding> findings) {
        siteOf(overlay)
                .filter(siteField -> !siteField.text().equals(site))
                .ifPresent(
                        siteField ->
                                findings.accept(
                                        Finding.error(
                                                siteField.start(),
                                                siteField.path(),
                                                "the overlay of the site \""
                                                        + site
                                                        + "\" names the site \""
                                                        + siteField.text()
                                                        + "\"")));
    }

    private void checkOverlay(
            SourceValue root, Optional<SourceValue> base, Consumer<Finding> findings) {
        List<SourceMember> overlayMembers = new ArrayList<>();
        for (SourceMember member : root.members()) {
            boolean fleetWide =
                    schema.overlay().field(member.name()).isEmpty()
                            && schema.base().field(member.name()).isPresent();
            if (fleetWide) {
                findings.accept(
                        Finding.error(
                                member.position(),
                                member.value().path(),
                                "\""
                                        + member.name()
                                        + "\" is fleet-wide and belongs in the base file; an"
                                        + " overlay holds only site, policies and tuning"));
            } else {
                overlayMembers.add(member);
            }
        }
        SourceValue withoutFleetWide =
                new SourceValue(
                        root.kind(),
                        root.path(),
                        root.start(),
                        root.endOffset(),
                        root.text(),
                        overlayMembers,
                        root.elements());
        TypeChecker.check(withoutFleetWide, schema.overlay(), findings);
        base.ifPresent(baseRoot -> CellChecks.checkSite(root, baseRoot, findings));
    }

    private Configuration merge(long version, SourceValue base, Optional<SourceValue> overlay) {
        FieldValues fleetWide = FieldValues.of(List.of(base), schema.base());
        List<SourceValue> layers = new ArrayList<>();
        overlay.ifPresent(layers::add);
        layers.add(base);
        FieldValues site = FieldValues.of(layers, schema.base());
        FieldValues cell = fleetWide.objectValue("cell");
        return new Configuration(
                version,
                cell.stringValue("name"),
                cell.intValue("expectedEntries"),
                cell.intValue("shardsPerZone"),
                cell.intValue("claimRetentionHours"),
                teams(fleetWide),
                queues(fleetWide),
                keys(fleetWide),
                policies(site.objectValue("policies")),
                tuning(site.objectValue("tuning")));
    }

    private static PMap<TeamId, Team> teams(FieldValues fleetWide) {
        PMap<TeamId, Team> teams = HashTreePMap.empty();
        for (FieldValues team : fleetWide.objectValues("teams")) {
            TeamId id = TeamId.of(team.stringValue("name"));
            Resources limit = resources(team.objectValue("limit"));
            teams = teams.plus(id, new Team(id, team.doubleValue("weight"), limit));
        }
        return teams;
    }

    private static PMap<QueueId, Queue> queues(FieldValues fleetWide) {
        PMap<QueueId, Queue> queues = HashTreePMap.empty();
        for (FieldValues queue : fleetWide.objectValues("queues")) {
            QueueId id = QueueId.of(queue.stringValue("name"));
            queues =
                    queues.plus(
                            id,
                            new Queue(
                                    id,
                                    TeamId.of(queue.stringValue("team")),
                                    queue.booleanValue("open"),
                                    WorkKind.valueOf(
                                            queue.stringValue("kind").toUpperCase(Locale.ROOT)),
                                    resources(queue.objectValue("size")),
                                    queue.booleanValue("urgent"),
                                    queue.longValue("timeoutMillis"),
                                    queue.intValue("maxQueued")));
        }
        return queues;
    }

    private static PMap<String, KeyGrant> keys(FieldValues fleetWide) {
        PMap<String, KeyGrant> keys = HashTreePMap.empty();
        for (FieldValues key : fleetWide.objectValues("keys")) {
            Optional<TeamId> team = Optional.of(TeamId.of(key.stringValue("team")));
            keys = keys.plus(key.stringValue("sha256"), grant(key, team));
        }
        for (FieldValues operator : fleetWide.objectValues("operators")) {
            keys = keys.plus(operator.stringValue("sha256"), grant(operator, Optional.empty()));
        }
        return keys;
    }

    private static KeyGrant grant(FieldValues key, Optional<TeamId> team) {
        return new KeyGrant(key.stringValue("id"), key.stringValue("sha256"), team);
    }

    private static PMap<WorkKind, KindPolicy> policies(FieldValues site) {
        PMap<WorkKind, KindPolicy> policies = HashTreePMap.empty();
        for (WorkKind kind : WorkKind.values()) {
            FieldValues policy = site.objectValue(CellSchema.nameOf(kind));
            policies =
                    policies.plus(
                            kind,
                            new KindPolicy(
                                    policy.stringValue("order"), policy.stringValue("placement")));
        }
        return policies;
    }

    private static Tuning tuning(FieldValues site) {
        return new Tuning(
                site.longValue("reclaimAfterMillis"),
                site.longValue("gangReserveAfterMillis"),
                resources(site.objectValue("requestReserve")),
                site.intValue("reservedSlots"),
                site.intValue("maxQueuedTotal"),
                site.intValue("maxAttempts"),
                site.intValue("quarantineFailures"),
                site.longValue("quarantineWindowMillis"),
                site.longValue("crossZoneCostMillis"),
                site.longValue("crossRegionCostMillis"));
    }

    private static Resources resources(FieldValues values) {
        return Resources.of(
                values.longValue("cpuMillis"),
                values.longValue("memoryMb"),
                values.longValue("accelerators"));
    }
}
