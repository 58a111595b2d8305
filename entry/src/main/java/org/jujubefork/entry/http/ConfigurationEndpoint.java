package org.jujubefork.entry.http;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeMap;
import org.jujubefork.client.api.ApiCodec;
import org.jujubefork.client.api.ApplyResult;
import org.jujubefork.client.api.ChangeView;
import org.jujubefork.client.api.ConfigApply;
import org.jujubefork.client.api.ConfigView;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.client.api.FindingView;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.config.cell.ConfigurationDocument;
import org.jujubefork.config.edit.AccessKeys;
import org.jujubefork.config.source.Finding;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.entry.platform.ConfigurationApplier;

/** Shows and changes the configuration. */
public final class ConfigurationEndpoint {
    /** Longest configuration in one request, in bytes; a value of the store holds 1 MiB. */
    private static final int MAX_BODY_BYTES = 900 * 1024;

    private final ConfigurationApplier applier;
    private final OperatorAccess access;

    /** Creates an endpoint that changes the configuration through {@code applier}. */
    public ConfigurationEndpoint(ConfigurationApplier applier, OperatorAccess access) {
        this.applier = applier;
        this.access = access;
    }

    /** Answers with the texts that are in force here. */
    public void show(Exchange exchange, String variable) throws IOException {
        ConfigurationDocument document =
                applier.newestDocument().orElse(ConfigurationDocument.of(0, "{}", new TreeMap<>()));
        exchange.json(
                200, new ConfigView(document.version(), document.base(), document.overlays()));
    }

    /**
     * Takes a change. The first configuration of a cell is taken from the holder of a key that the
     * configuration itself names as an operator's.
     */
    public void apply(Exchange exchange, String variable)
            throws IOException, InterruptedException, BodyException {
        byte[] body = exchange.body(MAX_BODY_BYTES);
        if (applier.newestDocument().isPresent()) {
            access.protect((e, v) -> take(e, body, Optional.empty())).handle(exchange, variable);
        } else {
            take(
                    exchange,
                    body,
                    Optional.of(exchange.accessKey().map(AccessKeys::hash).orElse("")));
        }
    }

    private void take(Exchange exchange, byte[] body, Optional<String> firstOperator)
            throws IOException, InterruptedException {
        ConfigApply change;
        try {
            change = ApiCodec.decodeRequest(body, ConfigApply.class);
        } catch (InvalidMessageException e) {
            Refusals.invalid(exchange, e.getMessage());
            return;
        }
        switch (applier.apply(
                change.ifVersion(), change.base(), change.overlays(), firstOperator)) {
            case ConfigurationApplier.Result.Invalid r -> refuseInvalid(exchange, r.findings());
            case ConfigurationApplier.Result.Outdated r -> refuseOutdated(exchange, r);
            case ConfigurationApplier.Result.NotOperator r ->
                    exchange.error(
                            401,
                            ErrorView.of(
                                    ErrorCodes.UNAUTHORIZED,
                                    "the first configuration must name the key of this request as"
                                            + " an operator's",
                                    Outcome.NOT_RUN));
            case ConfigurationApplier.Result.Failed r ->
                    exchange.error(
                            503,
                            ErrorView.of(ErrorCodes.STORE_UNAVAILABLE, r.reason(), r.outcome()));
            case ConfigurationApplier.Result.Stored r ->
                    exchange.json(
                            200,
                            new ApplyResult(
                                    r.version(),
                                    r.accepted()
                                            ? ApplyResult.Status.ACCEPTED
                                            : ApplyResult.Status.UNCONFIRMED,
                                    r.inForceOn(),
                                    r.pending()));
        }
    }

    private static void refuseInvalid(Exchange exchange, List<Finding> findings)
            throws IOException {
        exchange.error(
                422,
                ErrorView.of(
                                ErrorCodes.INVALID_CONFIGURATION,
                                "the configuration has errors",
                                Outcome.NOT_RUN)
                        .withFindings(findings.stream().map(ConfigurationEndpoint::view).toList()));
    }

    private static FindingView view(Finding finding) {
        return new FindingView(
                finding.severity().name().toLowerCase(Locale.ROOT),
                finding.file(),
                finding.line(),
                finding.column(),
                finding.path(),
                finding.message());
    }

    private static void refuseOutdated(
            Exchange exchange, ConfigurationApplier.Result.Outdated outdated) throws IOException {
        exchange.error(
                409,
                ErrorView.of(
                                ErrorCodes.VERSION_CONFLICT,
                                "version " + outdated.currentVersion() + " is in force",
                                Outcome.NOT_RUN)
                        .withChanges(
                                outdated.changes().stream()
                                        .map(c -> new ChangeView(c.path(), c.before(), c.after()))
                                        .toList()));
    }
}
