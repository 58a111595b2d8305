package org.jujubefork.client.api;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The answer to {@code PUT /v1/admin/config}.
 *
 * @param version the version of the change
 * @param status whether the change is accepted
 * @param inForceOn entries that reported the version
 * @param pending entries that did not yet report it
 */
public record ApplyResult(
        long version, Status status, List<String> inForceOn, List<String> pending) {
    /** How far a change is. */
    public enum Status {
        /** The store has the change and a majority of the expected entries reported it. */
        @JsonProperty("accepted")
        ACCEPTED,
        /** The store has the change, but too few entries reported it in time. */
        @JsonProperty("unconfirmed")
        UNCONFIRMED
    }

    /** Copies the lists. */
    public ApplyResult {
        MessageChecks.requirePresent("status", status);
        inForceOn = MessageChecks.copyOrEmpty(inForceOn);
        pending = MessageChecks.copyOrEmpty(pending);
    }
}
