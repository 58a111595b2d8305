package org.jujubefork.client.store;

import java.util.Optional;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.client.http.MalformedResponseException;

/** Maps responses of the store to results. */
final class StoreResponses {
    private static final int TOO_MANY_REQUESTS = 429;

    private StoreResponses() {}

    /**
     * Maps the outcome of a put or delete. An unexpected response yields {@code Unknown}, because
     * it does not prove whether the write took effect.
     */
    static WriteResult toWriteResult(CallResult result) {
        return switch (result) {
            case CallResult.NotConnected n -> new WriteResult.NotApplied(n.reason());
            case CallResult.Unknown u -> new WriteResult.Unknown(u.reason());
            case CallResult.Response response -> readWriteResult(response);
        };
    }

    private static WriteResult readWriteResult(CallResult.Response response) {
        try {
            return switch (response.status()) {
                case 200 -> new WriteResult.Written(fields(response).number("revision"));
                case 412 -> new WriteResult.Conflict(fields(response).number("currentRevision"));
                case 400, 404, 413 ->
                        new WriteResult.NotApplied(
                                "store rejected the write: " + fields(response).text("error"));
                case TOO_MANY_REQUESTS -> new WriteResult.Throttled();
                default -> new WriteResult.Unknown("store returned status " + response.status());
            };
        } catch (MalformedResponseException e) {
            return new WriteResult.Unknown(
                    "status " + response.status() + " with a malformed body: " + e.getMessage());
        }
    }

    /** Returns the response if one was received whose status is neither 429 nor a server error. */
    static CallResult.Response requireResponse(CallResult result) throws StoreException {
        return switch (result) {
            case CallResult.NotConnected n ->
                    throw new StoreException(StoreException.Kind.NOT_CONNECTED, n.reason());
            case CallResult.Unknown u ->
                    throw new StoreException(
                            u.timedOut() ? StoreException.Kind.TIMEOUT : StoreException.Kind.FAILED,
                            u.reason());
            case CallResult.Response r -> checkStatus(r);
        };
    }

    private static CallResult.Response checkStatus(CallResult.Response response)
            throws StoreException {
        if (response.status() == TOO_MANY_REQUESTS) {
            throw new StoreException(
                    StoreException.Kind.THROTTLED, "store rejected the call: rate limit exceeded");
        }
        if (response.status() >= 500) {
            throw new StoreException(
                    StoreException.Kind.FAILED, "store returned status " + response.status());
        }
        return response;
    }

    /** Decodes the JSON body of a response that must have the given status. */
    static <T> T read(CallResult.Response response, int status, JsonFields.Decoder<T> reader)
            throws StoreException {
        if (response.status() != status) {
            throw new StoreException(
                    StoreException.Kind.MALFORMED,
                    "store returned status " + response.status() + " instead of " + status);
        }
        try {
            return fields(response).decode("answer", reader);
        } catch (MalformedResponseException e) {
            throw malformedResponse(e);
        }
    }

    static StoreException malformedResponse(Exception cause) {
        return new StoreException(StoreException.Kind.MALFORMED, cause.getMessage(), cause);
    }

    static KeyValue readKeyValue(JsonFields fields) throws MalformedResponseException {
        return new KeyValue(fields.text("key"), fields.bytes("value"), fields.number("revision"));
    }

    static Change readChange(JsonFields fields) throws MalformedResponseException {
        Optional<byte[]> value =
                fields.flag("deleted") ? Optional.empty() : Optional.of(fields.bytes("value"));
        return new Change(fields.text("key"), fields.number("revision"), value);
    }

    private static JsonFields fields(CallResult.Response response)
            throws MalformedResponseException {
        return JsonFields.parse(response.body());
    }
}
