package org.jujubefork.entry.platform;

/** The keys under which entries keep what has to last. */
public final class StoreKeys {
    /** Prefix of everything that all entries watch. */
    public static final String SHARED = "shared/";

    /** The configuration document. */
    public static final String CONFIGURATION = SHARED + "config";

    /** The ledger of budgets. */
    public static final String LEDGER = SHARED + "ledger";

    /** Prefix of job records. */
    public static final String JOBS = SHARED + "jobs/";

    /** Prefix of the addresses of entries. */
    public static final String ENTRIES = SHARED + "entries/";

    private StoreKeys() {}
}
