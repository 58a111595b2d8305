package org.jujubefork.entry.http;

import java.io.IOException;
import org.jujubefork.client.api.ApiPaths;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.Outcome;

/** Sends the error responses for requests that were refused or that failed. */
final class Refusals {
    /**
     * HTTP status and error code of a response.
     *
     * @param status the HTTP status
     * @param code the error code in the body, one of {@link ErrorCodes}
     */
    private record ErrorCode(int status, String code) {}

    private Refusals() {}

    /** Sends the error response for {@code result}, which must not be a success. */
    static void send(Exchange exchange, AttemptResult result) throws IOException {
        ErrorCode errorCode = errorCode(result);
        ErrorView error = ErrorView.of(errorCode.code(), result.reason().text(), result.outcome());
        exchange.setHeader(ApiPaths.REASON_HEADER, result.reason().code());
        exchange.sendError(
                errorCode.status(),
                result.retryAfterMillis() > 0
                        ? error.withRetryAfter(result.retryAfterMillis())
                        : error);
    }

    /** Sends status 400 for a request that is malformed or has invalid values. */
    static void sendInvalidRequest(Exchange exchange, String message) throws IOException {
        exchange.sendError(400, ErrorView.of(ErrorCodes.INVALID_REQUEST, message, Outcome.NOT_RUN));
    }

    private static ErrorCode errorCode(AttemptResult result) {
        return switch (result.reason()) {
            case KEY_MISSING, KEY_UNKNOWN -> new ErrorCode(401, ErrorCodes.UNAUTHORIZED);
            case WRONG_TEAM -> new ErrorCode(403, ErrorCodes.FORBIDDEN);
            case QUEUE_UNKNOWN, JOB_UNKNOWN -> new ErrorCode(404, ErrorCodes.NOT_FOUND);
            case WRONG_KIND, IDEMPOTENCY_KEY_MISSING ->
                    new ErrorCode(400, ErrorCodes.INVALID_REQUEST);
            case NEVER_FITS, GANG_NEVER_FITS, ABOVE_LIMIT ->
                    new ErrorCode(422, ErrorCodes.IMPOSSIBLE);
            case OVERLOADED -> new ErrorCode(429, ErrorCodes.OVERLOADED);
            case STORE_UNAVAILABLE, CLAIM_NOT_WRITTEN ->
                    new ErrorCode(503, ErrorCodes.STORE_UNAVAILABLE);
            case DEADLINE_BEFORE_START, DEADLINE_AFTER_START ->
                    new ErrorCode(504, ErrorCodes.TIMED_OUT);
            case IN_PROGRESS, EARLIER_OUTCOME_UNKNOWN ->
                    new ErrorCode(409, ErrorCodes.ALREADY_DONE);
            case WORKER_CONNECTION_LOST, ENTRY_CONNECTION_LOST, TASK_FAILED, ANSWER_TOO_LARGE ->
                    new ErrorCode(502, ErrorCodes.WORKER_FAILED);
            default ->
                    result.outcome() == Outcome.UNKNOWN
                            ? new ErrorCode(502, ErrorCodes.WORKER_FAILED)
                            : new ErrorCode(503, ErrorCodes.UNAVAILABLE);
        };
    }
}
