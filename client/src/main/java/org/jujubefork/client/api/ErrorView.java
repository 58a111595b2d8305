package org.jujubefork.client.api;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Outcome;

/**
 * Body of every response with a status of 400 or above.
 *
 * @param code one of {@link ErrorCodes}
 * @param message human-readable description of the error
 * @param outcome outcome of the request: {@code done}, {@code not-run} or {@code unknown}, see
 *     {@link OutcomeNames}
 * @param retryAfterMillis minimum delay before a retry, in milliseconds
 * @param findings errors and warnings in a submitted configuration
 * @param changes differences from the version on which a submitted configuration was based
 */
public record ErrorView(
        String code,
        String message,
        String outcome,
        Optional<Long> retryAfterMillis,
        List<FindingView> findings,
        List<ChangeView> changes) {
    /**
     * Rejects a missing code and an unknown outcome, and copies the lists; missing lists become
     * empty.
     */
    public ErrorView {
        MessageChecks.requirePresent("code", code);
        OutcomeNames.parse(outcome);
        message = message == null ? "" : message;
        findings = MessageChecks.copyOrEmpty(findings);
        changes = MessageChecks.copyOrEmpty(changes);
    }

    /** Returns an error without retry-after time, findings and changes. */
    public static ErrorView of(String code, String message, Outcome outcome) {
        return new ErrorView(
                code, message, OutcomeNames.of(outcome), Optional.empty(), List.of(), List.of());
    }

    /** Returns this error with a minimum delay before a retry, in milliseconds. */
    public ErrorView withRetryAfter(long millis) {
        return new ErrorView(code, message, outcome, Optional.of(millis), findings, changes);
    }

    /** Returns this error with another outcome. */
    public ErrorView withOutcome(Outcome newOutcome) {
        return new ErrorView(
                code, message, OutcomeNames.of(newOutcome), retryAfterMillis, findings, changes);
    }

    /** Returns this error with its findings replaced by {@code newFindings}. */
    public ErrorView withFindings(List<FindingView> newFindings) {
        return new ErrorView(code, message, outcome, retryAfterMillis, newFindings, changes);
    }

    /** Returns this error with its changes replaced by {@code newChanges}. */
    public ErrorView withChanges(List<ChangeView> newChanges) {
        return new ErrorView(code, message, outcome, retryAfterMillis, findings, newChanges);
    }
}
