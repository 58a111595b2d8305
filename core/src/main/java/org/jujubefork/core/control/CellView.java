package org.jujubefork.core.control;

import org.jujubefork.core.membership.MembershipState;
import org.jujubefork.core.ownership.FleetState;
import org.jujubefork.core.ownership.OwnershipState;
import org.jujubefork.core.placement.FleetTotals;

/**
 * What an entry knows of the rest of the cell.
 *
 * @param membership other entries, and store contact
 * @param fleet workers on the VM list
 * @param ownership what is known about the owners of shards
 * @param remoteTotals sums over the shards of other entries
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
