package org.jujubefork.core.testing;

import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.limits.Ledger;

/** In-memory store of the configuration and the ledger, with compare-and-swap of the ledger. */
public final class FakeStore {
    private Configuration configuration;
    private Ledger ledger = Ledger.EMPTY;
    private long revision;
    private boolean available = true;
    private int ledgerWriteCount;

    FakeStore(Configuration configuration) {
        this.configuration = configuration;
    }

    public boolean isAvailable() {
        return available;
    }

    public void setAvailable(boolean value) {
        available = value;
    }

    public Configuration configuration() {
        return configuration;
    }

    public void setConfiguration(Configuration value) {
        if (value.version() <= configuration.version()) {
            throw new IllegalArgumentException("version must increase: " + value.version());
        }
        configuration = value;
    }

    public Ledger ledger() {
        return ledger;
    }

    public long revision() {
        return revision;
    }

    public int ledgerWriteCount() {
        return ledgerWriteCount;
    }

    boolean writeLedger(long expectedRevision, Ledger value) {
        if (expectedRevision != revision) {
            return false;
        }
        revision++;
        ledgerWriteCount++;
        ledger = value;
        return true;
    }
}
