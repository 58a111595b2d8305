package org.jujubefork.client.api;

import java.util.List;
import java.util.Optional;
import org.jujubefork.core.model.Outcome;

/**
 * The body of every response with a status of 400 or above.
 *
 * @param code one of {@link ErrorCodes}
 * @param message what is wrong, for people
 * @param outcome what is known about the request, see {@link OutcomeNames}
 * @param retryAfterMillis after which time a retry makes sense, in milliseconds
 * @param findings what is wrong with a configuration that was sent
 * @param changes what changed since the version that a configuration was based on
 */
public record ErrorView(
        String code,
        String message,
        String outcome,
        Optional<Long> retryAfterMillis,
        List<FindingView> findings,
        List<ChangeView> changes) {
    /** Checks code and outcome, and copies the lists. */
    public ErrorView {
        MessageChecks.requirePresent("code", code);
        OutcomeNames.parse(outcome);
        message = message == null ? "" : message;
        findings = MessageChecks.copyOrEmpty(findings);
        changes = MessageChecks.copyOrEmpty(changes);
    }

    /** Returns an error without details. */
    public static ErrorView of(String code, String message, Outcome outcome) {
        return new ErrorView(
                code, message, OutcomeNames.of(outcome), Optional.empty(), List.of(), List.of());
    }

    /** Returns this error with a time after which a retry makes sense, in milliseconds. */
    public ErrorView withRetryAfter(long millis) {
        return new ErrorView(code, message, outcome, Optional.of(millis), findings, changes);
    }

    /** Returns this error with another outcome. */
    public ErrorView withOutcome(Outcome newOutcome) {
        return new ErrorView(
                code, message, OutcomeNames.of(newOutcome), retryAfterMillis, findings, changes);
    }

    /** Returns this error with findings. */
    public ErrorView withFindings(List<FindingView> newFindings) {
        return new ErrorView(code, message, outcome, retryAfterMillis, newFindings, changes);
    }

    /** Returns this error with changes. */
    public ErrorView withChanges(List<ChangeView> newChanges) {
        return new ErrorView(code, message, outcome, retryAfterMillis, findings, newChanges);
    }
}
