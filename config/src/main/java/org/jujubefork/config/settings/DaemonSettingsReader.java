package org.jujubefork.config.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jujubefork.config.schema.Field;
import org.jujubefork.config.schema.FieldValues;
import org.jujubefork.config.schema.TypeChecker;
import org.jujubefork.config.source.Finding;
import org.jujubefork.config.source.SourceParser;
import org.jujubefork.config.source.SourcePosition;
import org.jujubefork.config.source.SourceText;
import org.jujubefork.config.source.SourceValue;

/** Reads the settings of an entry daemon from JSON with comments. */
public final class DaemonSettingsReader {
    private DaemonSettingsReader() {}

    /**
     * Reads the settings file {@code path}.
     *
     * @throws InvalidSettingsException with all findings if the file cannot be read or is invalid
     */
    public static DaemonSettings read(Path path) throws InvalidSettingsException {
        return parse(path.toString(), SettingsFile.read(path));
    }

    /**
     * Parses the text of a settings file.
     *
     * @param file the file name for findings
     * @throws InvalidSettingsException with all findings if the text is invalid
     */
    public static DaemonSettings parse(String file, String text) throws InvalidSettingsException {
        SourceText source = SourceParser.parse(file, text);
        List<Finding> findings = new ArrayList<>(source.findings());
        source.root()
                .ifPresent(
                        root -> {
                            TypeChecker.check(root, DaemonSettingsSchema.ROOT, findings::add);
                            checkConsistency(root, findings::add);
                        });
        if (!findings.isEmpty()) {
            findings.sort(Finding.BY_POSITION);
            throw new InvalidSettingsException(findings);
        }
        return toSettings(
                FieldValues.of(source.root().stream().toList(), DaemonSettingsSchema.ROOT));
    }

    /** Checks settings against each other. {@link TypeChecker} reports those of a wrong type. */
    private static void checkConsistency(SourceValue root, Consumer<Finding> findings) {
        requireMinDifference(root, "gossipIntervalMillis", "suspectAfterMillis", 1, findings);
        requireMinDifference(root, "suspectAfterMillis", "deadAfterMillis", 1, findings);
        requireMinDifference(
                root, "probeValidityMillis", "configurationFreshnessMillis", 0, findings);
        Optional<Long> renew = longOrDefault(root, "renewIntervalMillis");
        Optional<Long> ttl = longOrDefault(root, "leaseTtlMillis");
        if (renew.isPresent() && ttl.isPresent() && ttl.get() / 2 < renew.get()) {
            findings.accept(
                    Finding.error(
                            position(root, "leaseTtlMillis", "renewIntervalMillis"),
                            "$.leaseTtlMillis",
                            "leaseTtlMillis ("
                                    + ttl.get()
                                    + ") must be at least twice renewIntervalMillis ("
                                    + renew.get()
                                    + ")"));
        }
    }

    private static void requireMinDifference(
            SourceValue root,
            String low,
            String high,
            long minDifference,
            Consumer<Finding> findings) {
        Optional<Long> lowValue = longOrDefault(root, low);
        Optional<Long> highValue = longOrDefault(root, high);
        if (lowValue.isEmpty()
                || highValue.isEmpty()
                || highValue.get() - lowValue.get() >= minDifference) {
            return;
        }
        findings.accept(
                Finding.error(
                        position(root, high, low),
                        "$." + high,
                        high
                                + " ("
                                + highValue.get()
                                + ") must be "
                                + (minDifference == 0 ? "at least " : "above ")
                                + low
                                + " ("
                                + lowValue.get()
                                + ")"));
    }

    private static Optional<Long> longOrDefault(SourceValue root, String name) {
        if (root.member(name).isPresent()) {
            return root.member(name).flatMap(DaemonSettingsReader::parseLong);
        }
        return DaemonSettingsSchema.ROOT
                .field(name)
                .flatMap(Field::defaultValue)
                .map(Long.class::cast);
    }

    private static Optional<Long> parseLong(SourceValue value) {
        try {
            return Optional.of(Long.parseLong(value.text()));
        } catch (NumberFormatException _) {
            return Optional.empty();
        }
    }

    private static SourcePosition position(SourceValue root, String name, String otherName) {
        return root.member(name)
                .or(() -> root.member(otherName))
                .map(SourceValue::start)
                .orElse(root.start());
    }

    private static DaemonSettings toSettings(FieldValues values) {
        return new DaemonSettings(
                values.stringValue("name"),
                values.stringValue("region"),
                values.stringValue("zone"),
                HostPort.parse(values.stringValue("httpAddress")),
                HostPort.parse(values.stringValue("peerAddress")),
                HostPort.parse(values.stringValue("storeAddress")),
                HostPort.parse(values.stringValue("vmListAddress")),
                values.stringValues("seeds").stream().map(HostPort::parse).toList(),
                values.longValue("gossipIntervalMillis"),
                values.longValue("suspectAfterMillis"),
                values.longValue("deadAfterMillis"),
                values.longValue("configurationFreshnessMillis"),
                values.longValue("probeValidityMillis"),
                values.longValue("leaseTtlMillis"),
                values.longValue("renewIntervalMillis"),
                values.longValue("vmListIntervalMillis"),
                values.longValue("drainTimeoutMillis"),
                values.intValue("maxRequestBodyBytes"),
                values.intValue("maxAnswerBytes"),
                values.intValue("eventQueueCapacity"));
    }
}
