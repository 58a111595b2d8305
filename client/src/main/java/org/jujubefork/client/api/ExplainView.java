package org.jujubefork.client.api;

import java.util.List;

/**
 * Response to {@code GET /v1/admin/explain?subject=KIND&id=ID}.
 *
 * @param subject kind and identifier of the explained object, such as {@code job J1}
 * @param state current state of the object
 * @param sinceMillis time at which the object entered the state, in milliseconds since 1970; 0 if
 *     unknown
 * @param reasons reasons for the state, the most important first
 * @param rejected rejected placements by reason, with counts
 * @param wouldRunWhen condition under which the object would run, empty if it runs
 */
public record ExplainView(
        String subject,
        String state,
        long sinceMillis,
        List<String> reasons,
        List<RejectedView> rejected,
        String wouldRunWhen) {
    /** Copies the lists; missing lists and a missing condition become empty. */
    public ExplainView {
        reasons = MessageChecks.copyOrEmpty(reasons);
        rejected = MessageChecks.copyOrEmpty(rejected);
        wouldRunWhen = wouldRunWhen == null ? "" : wouldRunWhen;
    }
}
