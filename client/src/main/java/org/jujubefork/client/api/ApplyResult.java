package org.jujubefork.client.api;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Response to {@code PUT /v1/admin/config}.
 *
 * @param version configuration version that the change created
 * @param status whether enough entries confirmed the change in time
 * @param inForceOn entries that reported this version as in force
 * @param pending entries that have not reported it yet
 */
public record ApplyResult(
        long version, Status status, List<String> inForceOn, List<String> pending) {
    /** Progress of a change. */
    public enum Status {
        /**
         * The change is in the store, and a majority of the expected entries reported it as in
         * force.
         */
        @JsonProperty("accepted")
        ACCEPTED,
        /** The change is in the store, but too few entries reported it as in force in time. */
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
