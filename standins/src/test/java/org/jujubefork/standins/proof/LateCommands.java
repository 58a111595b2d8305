package org.jujubefork.standins.proof;

import org.jujubefork.standins.Await;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.process.TcpRelay;

/**
 * Commands to a worker that are held back on the network. A fault that has to meet a command in
 * flight meets these, however busy the machine is.
 */
final class LateCommands {
    /** A renewal is in flight at most once per worker, so that two of three are starts. */
    private static final int CONNECTIONS = 3;

    private final TcpRelay relay;

    private LateCommands(TcpRelay relay) {
        this.relay = relay;
    }

    /**
     * Holds back what is sent to a worker and waits until starts are among it. The plan of the cell
     * needs worker relays.
     */
    static LateCommands to(TestCell cell, String worker) throws Exception {
        TcpRelay relay = cell.workerRelay(worker);
        relay.holdClientBytes();
        Await.until("commands on the network", () -> relay.heldConnections() >= CONNECTIONS);
        return new LateCommands(relay);
    }

    /** Lets the next owner reach the worker on connections of its own. */
    void passNewConnections() {
        relay.stopHoldingNewConnections();
    }

    /** Delivers the commands that were held back. */
    void deliver() {
        relay.releaseHeldBytes();
    }
}
