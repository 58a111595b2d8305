package org.jujubefork.core.membership;

import org.jujubefork.core.model.Resources;

/**
 * What a team uses and wants in one shard.
 *
 * @param running declared sizes of running tasks
 * @param waiting declared sizes of waiting work that its budget does not cover
 * @param queued how many requests and tasks wait
 */
public record TeamLoad(Resources running, Resources waiting, int queued) {
    /** No usage and no demand. */
    public static final TeamLoad NONE = new TeamLoad(Resources.ZERO, Resources.ZERO, 0);
}
