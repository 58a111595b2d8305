package org.jujubefork.entry.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.Optional;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ClaimRecord;
import org.jujubefork.core.requests.ClaimState;

/** Encodes and decodes claims as JSON. */
final class ClaimCodec {
    private ClaimCodec() {}

    /**
     * A claim with the stored answer to its request.
     *
     * @param record the claim
     * @param contentType media type of the answer, empty if there is none
     * @param body the answer; empty if there is none, or if it was too large to store
     */
    record StoredClaim(ClaimRecord record, String contentType, Optional<byte[]> body) {}

    static String encode(StoredClaim claim) {
        ObjectNode node =
                RecordJson.newObject()
                        .put("request", claim.record().request().value())
                        .put("entry", claim.record().entry().toString())
                        .put("state", claim.record().state().name())
                        .put("contentType", claim.contentType());
        claim.body().ifPresent(b -> node.put("body", Base64.getEncoder().encodeToString(b)));
        return node.toString();
    }

    static StoredClaim decode(String text) throws MalformedRecordException {
        return RecordJson.decode("claim", text, ClaimCodec::read);
    }

    private static StoredClaim read(JsonNode node) {
        ClaimRecord record =
                new ClaimRecord(
                        RequestId.of(RecordJson.text(node, "request")),
                        EntryId.parse(RecordJson.text(node, "entry")),
                        ClaimState.valueOf(RecordJson.text(node, "state")));
        Optional<byte[]> body =
                Optional.ofNullable(node.get("body"))
                        .map(b -> Base64.getDecoder().decode(b.asText()));
        return new StoredClaim(record, RecordJson.text(node, "contentType"), body);
    }
}
