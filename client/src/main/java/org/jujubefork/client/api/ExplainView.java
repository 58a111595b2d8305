package org.jujubefork.client.api;

import java.util.List;

/**
 * The answer to {@code GET /v1/admin/explain?subject=KIND&id=ID}.
 *
 * @param subject what is explained, such as job J1
 * @param state its state
 * @param sinceMillis when it got into the state, in milliseconds since 1970; 0 if that is not known
 * @param reasons what led to the state, the most important first
 * @param rejected rejected alternatives with counts
 * @param wouldRunWhen what has to change for it to run, empty if it runs
 */
public record ExplainView(
        String subject,
        String state,
        long sinceMillis,
        List<String> reasons,
        List<RejectedView> rejected,
        String wouldRunWhen) {
    /** Copies the lists. */
    public ExplainView {
        reasons = MessageChecks.copyOrEmpty(reasons);
        rejected = MessageChecks.copyOrEmpty(rejected);
        wouldRunWhen = wouldRunWhen == null ? "" : wouldRunWhen;
    }
}
