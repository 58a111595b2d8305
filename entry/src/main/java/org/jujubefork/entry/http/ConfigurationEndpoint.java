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

/** Returns and changes the configuration of the cell. */
public final class ConfigurationEndpoint {
    /** Limit for the configuration in a request; the store limits a value to 1 MiB. */
    private static final int MAX_BODY_BYTES = 900 * 1024;

    private final ConfigurationApplier applier;
    private final OperatorAccess access;

    /** Creates an endpoint that changes the configuration through {@code applier}. */
    public ConfigurationEndpoint(ConfigurationApplier applier, OperatorAccess access) {
        this.applier = applier;
        this.access = access;
    }

    /** Sends the configuration documents that are in force on this entry; version 0 if none. */
    public void show(Exchange exchange, String variable) throws IOException {
        ConfigurationDocument document =
                applier.newestDocument().orElse(ConfigurationDocument.of(0, "{}", new TreeMap<>()));
        exchange.sendJson(
                200, new ConfigView(document.version(), document.base(), document.overlays()));
    }

    /**
     * Applies a change to the configuration. The first configuration of a cell is accepted only if
     * it grants operator rights to the access key of the request itself.
     */
    public void apply(Exchange exchange, String variable)
            throws IOException, InterruptedException, BodyException {
        byte[] body = exchange.readBody(MAX_BODY_BYTES);
        if (applier.newestDocument().isPresent()) {
            access.protect((e, v) -> applyChange(e, body, Optional.empty()))
                    .handle(exchange, variable);
        } else {
            applyChange(
                    exchange,
                    body,
                    Optional.of(exchange.accessKey().map(AccessKeys::hash).orElse("")));
        }
    }

    private void applyChange(Exchange exchange, byte[] body, Optional<String> firstOperatorKeyHash)
            throws IOException, InterruptedException {
        ConfigApply change;
        try {
            change = ApiCodec.decodeRequest(body, ConfigApply.class);
        } catch (InvalidMessageException e) {
            Refusals.sendInvalidRequest(exchange, e.getMessage());
            return;
        }
        switch (applier.apply(
                change.ifVersion(), change.base(), change.overlays(), firstOperatorKeyHash)) {
            case ConfigurationApplier.Result.Invalid result ->
                    sendInvalidConfiguration(exchange, result.findings());
            case ConfigurationApplier.Result.Outdated result ->
                    sendVersionConflict(exchange, result);
            case ConfigurationApplier.Result.NotOperator result ->
                    exchange.sendError(
                            401,
                            ErrorView.of(
                                    ErrorCodes.UNAUTHORIZED,
                                    "the first configuration must name the key of this request as"
                                            + " an operator's",
                                    Outcome.NOT_RUN));
            case ConfigurationApplier.Result.Failed result ->
                    exchange.sendError(
                            503,
                            ErrorView.of(
                                    ErrorCodes.STORE_UNAVAILABLE,
                                    result.reason(),
                                    result.outcome()));
            case ConfigurationApplier.Result.Stored result ->
                    exchange.sendJson(
                            200,
                            new ApplyResult(
                                    result.version(),
                                    result.accepted()
                                            ? ApplyResult.Status.ACCEPTED
                                            : ApplyResult.Status.UNCONFIRMED,
                                    result.inForceOn(),
                                    result.pending()));
        }
    }

    private static void sendInvalidConfiguration(Exchange exchange, List<Finding> findings)
            throws IOException {
        exchange.sendError(
                422,
                ErrorView.of(
                                ErrorCodes.INVALID_CONFIGURATION,
                                "the configuration has errors",
                                Outcome.NOT_RUN)
                        .withFindings(
                                findings.stream()
                                        .map(ConfigurationEndpoint::findingView)
                                        .toList()));
    }

    private static FindingView findingView(Finding finding) {
        return new FindingView(
                finding.severity().name().toLowerCase(Locale.ROOT),
                finding.file(),
                finding.line(),
                finding.column(),
                finding.path(),
                finding.message());
    }

    private static void sendVersionConflict(
            Exchange exchange, ConfigurationApplier.Result.Outdated outdated) throws IOException {
        exchange.sendError(
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
