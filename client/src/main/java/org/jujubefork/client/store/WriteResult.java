package org.jujubefork.client.store;

/** What is known after a write to the store. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param revision the store's revision that the write created
     */
    record Written(long revision) implements WriteResult {}

    /**
     * The write was refused because the key's revision is another one than expected.
     *
     * @param currentRevision the key's revision, 0 if the key does not exist
     */
    record Conflict(long currentRevision) implements WriteResult {}

    /**
     * The write provably did not take effect: there was no connection, or the store refused it.
     *
     * @param reason why, for logs
     */
    record NotApplied(String reason) implements WriteResult {}

    /**
     * The write may have taken effect. The caller reads the key back.
     *
     * @param reason why, for logs
     */
    record Unknown(String reason) implements WriteResult {}

    /** The store refused the write because its write rate is exceeded (status 429). */
    record Throttled() implements WriteResult {}
}
