package org.jujubefork.standins.capacity;

import org.jujubefork.standins.Await;
import org.jujubefork.standins.cell.EntryVm;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.testng.annotations.Test;

/** Guards against a metric of peer traffic that is declared but not counted. */
public final class PeerBytesTest {
    @Test
    public void gossipIsCountedByDistance() throws Exception {
        try (TestCell cell = TestCell.start(SmallCell.of(2).plan())) {
            for (EntryVm entry : cell.entries()) {
                Await.until(
                        "gossip to the other region, counted by " + entry.name(),
                        () -> gossipBytes(cell, entry) > 0);
            }
        }
    }

    private static double gossipBytes(TestCell cell, EntryVm entry) throws Exception {
        return EntryCost.sum(
                cell.metrics(entry),
                "jujube_peer_bytes_total{distance=\"other-region\",purpose=\"gossip\"}",
                "");
    }
}
