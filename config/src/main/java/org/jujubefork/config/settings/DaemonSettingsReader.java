package org.jujubefork.config.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jujubefork.config.schema.Field;
import org.jujubefork.config.schema.FieldValues;
import org.jujubefork.config.schema.ShapeChecker;
import org.jujubefork.config.source.Finding;
import org.jujubefork.config.source.SourceParser;
import org.jujubefork.config.source.SourcePlace;
import org.jujubefork.config.source.SourceText;
import org.jujubefork.config.source.SourceValue;

/** Reads the settings of an entry daemon from JSON with comments. */
public final class DaemonSettingsReader {
    private DaemonSettingsReader() {}

    /**
     * Reads the settings file {@code path}.
     *
     * @throws InvalidSettingsException if the file cannot be read or anything in it is wrong; it
     *     carries all findings
     */
    public static DaemonSettings read(Path path) throws InvalidSettingsException {
        return parse(path.toString(), SettingsFile.text(path));
    }

    /**
     * Parses the text of a settings file.
     *
     * @param file the name by which findings refer to the text
     * @throws InvalidSettingsException if anything is wrong; it carries all findings
     */
    public static DaemonSettings parse(String file, String text) throws InvalidSettingsException {
        SourceText source = SourceParser.parse(file, text);
        List<Finding> findings = new ArrayList<>(source.findings());
        source.root()
                .ifPresent(
                        root -> {
                            ShapeChecker.check(root, DaemonSettingsSchema.ROOT, findings::add);
                            checkOrder(root, findings::add);
                        });
        if (!findings.isEmpty()) {
            findings.sort(Finding.BY_PLACE);
            throw new InvalidSettingsException(findings);
        }
        return settings(FieldValues.of(source.root().stream().toList(), DaemonSettingsSchema.ROOT));
    }

    /** Checks settings against each other. Those of a wrong type are left to the shape check. */
    private static void checkOrder(SourceValue root, Consumer<Finding> findings) {
        requireBelow(root, "gossipIntervalMillis", "suspectAfterMillis", 1, findings);
        requireBelow(root, "suspectAfterMillis", "deadAfterMillis", 1, findings);
        requireBelow(root, "probeValidityMillis", "configurationFreshnessMillis", 0, findings);
        Optional<Long> renew = number(root, "renewIntervalMillis");
        Optional<Long> ttl = number(root, "leaseTtlMillis");
        if (renew.isPresent() && ttl.isPresent() && ttl.get() / 2 < renew.get()) {
            findings.accept(
                    Finding.error(
                            place(root, "leaseTtlMillis", "renewIntervalMillis"),
                            "$.leaseTtlMillis",
                            "leaseTtlMillis ("
                                    + ttl.get()
                                    + ") must be at least twice renewIntervalMillis ("
                                    + renew.get()
                                    + ")"));
        }
    }

    private static void requireBelow(
            SourceValue root, String low, String high, long gap, Consumer<Finding> findings) {
        Optional<Long> lowValue = number(root, low);
        Optional<Long> highValue = number(root, high);
        if (lowValue.isEmpty() || highValue.isEmpty() || highValue.get() - lowValue.get() >= gap) {
            return;
        }
        findings.accept(
                Finding.error(
                        place(root, high, low),
                        "$." + high,
                        high
                                + " ("
                                + highValue.get()
                                + ") must be "
                                + (gap == 0 ? "at least " : "above ")
                                + low
                                + " ("
                                + lowValue.get()
                                + ")"));
    }

    private static Optional<Long> number(SourceValue root, String name) {
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

    private static SourcePlace place(SourceValue root, String name, String otherName) {
        return root.member(name)
                .or(() -> root.member(otherName))
                .map(SourceValue::start)
                .orElse(root.start());
    }

    private static DaemonSettings settings(FieldValues values) {
        return new DaemonSettings(
                values.text("name"),
                values.text("region"),
                values.text("zone"),
                HostPort.parse(values.text("httpAddress")),
                HostPort.parse(values.text("peerAddress")),
                HostPort.parse(values.text("storeAddress")),
                HostPort.parse(values.text("vmListAddress")),
                values.texts("seeds").stream().map(HostPort::parse).toList(),
                values.whole("gossipIntervalMillis"),
                values.whole("suspectAfterMillis"),
                values.whole("deadAfterMillis"),
                values.whole("configurationFreshnessMillis"),
                values.whole("probeValidityMillis"),
                values.whole("leaseTtlMillis"),
                values.whole("renewIntervalMillis"),
                values.whole("vmListIntervalMillis"),
                values.whole("drainTimeoutMillis"),
                values.wholeInt("maxRequestBodyBytes"),
                values.wholeInt("maxAnswerBytes"),
                values.wholeInt("eventQueueCapacity"));
    }
}
