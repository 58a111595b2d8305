package org.jujubefork.client.store;

/** Outcome of a write to the store. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param revision store revision created by the write
     */
    record Written(long revision) implements WriteResult {}

    /**
     * The write was rejected because the key's revision differs from the expected one.
     *
     * @param currentRevision current revision of the key, 0 if the key does not exist
     */
    record Conflict(long currentRevision) implements WriteResult {}

    /**
     * The write definitely did not take effect: no connection was established, or the store
     * rejected it.
     *
     * @param reason description of the failure, for logs
     */
    record NotApplied(String reason) implements WriteResult {}

    /**
     * The write may have taken effect. The caller must read the key to find out.
     *
     * @param reason description of the failure, for logs
     */
    record Unknown(String reason) implements WriteResult {}

    /** The store rejected the write because its write rate limit is exceeded (status 429). */
    record Throttled() implements WriteResult {}
}
