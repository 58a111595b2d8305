package org.jujubefork.standins.store;

/**
 * Value of a key.
 *
 * @param revision the revision of the last write
 * @param lease the lease with which the key expires, empty if none
 */
@SuppressWarnings("ArrayRecordComponent") // values are never modified
record StoredValue(byte[] value, long revision, String lease) {}
