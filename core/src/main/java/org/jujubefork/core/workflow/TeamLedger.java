package org.jujubefork.core.workflow;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The work that each team has used recently, as the basis of its fair share. The leader keeps it in
 * memory; a new leader starts with an empty ledger.
 *
 * @param usedWork the decayed CPU time that each team has used, in millicores times milliseconds
 * @param updatedAt when {@code usedWork} was computed, in milliseconds of the monotonic clock
 */
public record TeamLedger(PMap<String, Double> usedWork, long updatedAt) {
    /** No team has used anything. */
    public static final TeamLedger EMPTY = new TeamLedger(HashTreePMap.empty(), 0);
}
