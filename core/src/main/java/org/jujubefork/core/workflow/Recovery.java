package org.jujubefork.core.workflow;

/**
 * Whether this term has learned of all runs of earlier terms. Only the log uses it; decisions use
 * {@link Fleet#isRecovered}.
 *
 * @param leadsSince when this entry became the leader, in milliseconds of the monotonic clock
 * @param complete whether all runs were known in a placement pass of this term
 */
public record Recovery(long leadsSince, boolean complete) {
    /** This entry does not lead. */
    public static final Recovery NONE = new Recovery(0, false);

    /** Returns a copy in which all runs are known. */
    Recovery asComplete() {
        return new Recovery(leadsSince, true);
    }
}
