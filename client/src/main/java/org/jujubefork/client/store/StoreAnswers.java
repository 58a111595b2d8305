package org.jujubefork.client.store;

import java.util.Optional;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.client.http.MalformedAnswerException;

/** Maps answers of the store to results. */
final class StoreAnswers {
    private static final int TOO_MANY_REQUESTS = 429;

    private StoreAnswers() {}

    /** Maps the answer to a put or delete. An answer that is not understood proves nothing. */
    static WriteResult write(CallResult result) {
        return switch (result) {
            case CallResult.NotConnected n -> new WriteResult.NotSent(n.reason());
            case CallResult.Unknown u -> new WriteResult.Unknown(u.reason());
            case CallResult.Reply reply -> writeReply(reply);
        };
    }

    private static WriteResult writeReply(CallResult.Reply reply) {
        try {
            return switch (reply.status()) {
                case 200 -> new WriteResult.Written(fields(reply).number("revision"));
                case 412 -> new WriteResult.Conflict(fields(reply).number("currentRevision"));
                case 400, 404, 413 ->
                        new WriteResult.NotSent("store refused: " + fields(reply).text("error"));
                case TOO_MANY_REQUESTS -> new WriteResult.Throttled();
                default -> new WriteResult.Unknown("store answered status " + reply.status());
            };
        } catch (MalformedAnswerException e) {
            return new WriteResult.Unknown(
                    "status " + reply.status() + " with a malformed body: " + e.getMessage());
        }
    }

    /** Returns the reply if the call was answered with neither 429 nor a server error. */
    static CallResult.Reply reply(CallResult result) throws StoreException {
        return switch (result) {
            case CallResult.NotConnected n ->
                    throw new StoreException(StoreException.Kind.NOT_CONNECTED, n.reason());
            case CallResult.Unknown u ->
                    throw new StoreException(
                            u.timeout() ? StoreException.Kind.TIMEOUT : StoreException.Kind.FAILED,
                            u.reason());
            case CallResult.Reply r -> checked(r);
        };
    }

    private static CallResult.Reply checked(CallResult.Reply reply) throws StoreException {
        if (reply.status() == TOO_MANY_REQUESTS) {
            throw new StoreException(
                    StoreException.Kind.THROTTLED, "store refused the call over its rate");
        }
        if (reply.status() >= 500) {
            throw new StoreException(
                    StoreException.Kind.FAILED, "store answered status " + reply.status());
        }
        return reply;
    }

    /** Reads the JSON body of a reply that must have the given status. */
    static <T> T read(CallResult.Reply reply, int status, JsonFields.ElementReader<T> reader)
            throws StoreException {
        if (reply.status() != status) {
            throw new StoreException(
                    StoreException.Kind.MALFORMED,
                    "store answered status " + reply.status() + " instead of " + status);
        }
        try {
            return fields(reply).model("answer", reader);
        } catch (MalformedAnswerException e) {
            throw malformed(e);
        }
    }

    static StoreException malformed(Exception cause) {
        return new StoreException(StoreException.Kind.MALFORMED, cause.getMessage(), cause);
    }

    static KeyValue item(JsonFields fields) throws MalformedAnswerException {
        return new KeyValue(fields.text("key"), fields.bytes("value"), fields.number("revision"));
    }

    static Change change(JsonFields fields) throws MalformedAnswerException {
        Optional<byte[]> value =
                fields.flag("deleted") ? Optional.empty() : Optional.of(fields.bytes("value"));
        return new Change(fields.text("key"), fields.number("revision"), value);
    }

    private static JsonFields fields(CallResult.Reply reply) throws MalformedAnswerException {
        return JsonFields.parse(reply.body());
    }
}
