package org.jujubefork.entry.platform;

/** The keys of the entries' durable records in the store. */
public final class StoreKeys {
    /** Prefix of the keys that all entries watch. */
    public static final String SHARED = "shared/";

    /** Key of the configuration document. */
    public static final String CONFIGURATION = SHARED + "config";

    /** Key of the ledger, which holds the budgets of teams by shard. */
    public static final String LEDGER = SHARED + "ledger";

    /** Prefix of the keys of job records; followed by the job's id. */
    public static final String JOBS = SHARED + "jobs/";

    /** Prefix of the keys of the entries' peer addresses; followed by the entry's name. */
    public static final String ENTRIES = SHARED + "entries/";

    private StoreKeys() {}
}
