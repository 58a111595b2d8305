package org.jujubefork.core.control;

import org.jujubefork.core.membership.MembershipState;
import org.jujubefork.core.ownership.FleetState;
import org.jujubefork.core.ownership.OwnershipState;
import org.jujubefork.core.placement.FleetTotals;

/**
 * The knowledge of an entry about the other entries, the workers and the owners of shards in the
 * cell.
 *
 * @param membership the other entries, and the last contact with the store
 * @param fleet workers on the VM list
 * @param ownership the known owners of shards
 * @param remoteTotals capacity and usage, summed over the shards that other entries own
 */
public record CellView(
        MembershipState membership,
        FleetState fleet,
        OwnershipState ownership,
        FleetTotals remoteTotals) {
    static CellView initial(long nowMillis) {
        return new CellView(
                MembershipState.initial(nowMillis),
                FleetState.EMPTY,
                OwnershipState.EMPTY,
                FleetTotals.NONE);
    }
}
