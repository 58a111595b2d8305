package org.jujubefork.config.settings;

import org.jujubefork.config.schema.Field;
import org.jujubefork.config.schema.ValueType;

/** Declares types, bounds, defaults and descriptions of the settings of an entry daemon. */
public final class DaemonSettingsSchema {
    private static final ValueType NAME =
            new ValueType.StringType(
                    "[A-Za-z0-9._-]{1,100}",
                    "a name of 1 to 100 letters, digits, \".\", \"_\", \"-\"");
    private static final ValueType ADDRESS =
            new ValueType.StringType(
                    HostPort.ADDRESS_REGEX, "an IP address and port such as 127.0.0.1:7400");
    private static final ValueType DURATION_MILLIS = new ValueType.IntegerType(10, 600_000);
    private static final ValueType BODY_BYTES = new ValueType.IntegerType(1_024, 67_108_864);
    private static final String UNIT_MILLIS = "ms";
    private static final String UNIT_BYTES = "bytes";

    /** The top-level object of the settings file. */
    public static final ValueType.ObjectType ROOT =
            ValueType.ObjectType.of(
                    requiredField("name", NAME, "Name of the entry, the same after a restart."),
                    requiredField("region", NAME, "Region of the VM, and the site of the overlay."),
                    requiredField("zone", NAME, "Availability zone of the VM."),
                    requiredField("httpAddress", ADDRESS, "Serves callers and operators."),
                    requiredField("peerAddress", ADDRESS, "Serves the other entries."),
                    requiredField("storeAddress", ADDRESS, "The platform's store."),
                    requiredField("vmListAddress", ADDRESS, "The platform's VM list."),
                    requiredField(
                            "seeds",
                            new ValueType.ListType(ADDRESS),
                            "Peer addresses that the entry contacts first. Its own may be among"
                                    + " them."),
                    durationField(
                            "gossipIntervalMillis", 1_000, "Time between two rounds of gossip."),
                    durationField(
                            "suspectAfterMillis",
                            3_000,
                            "Silence after which a peer is suspected. Above gossipIntervalMillis."),
                    durationField(
                            "deadAfterMillis",
                            5_000,
                            "Silence after which a peer counts as failed and its shards are taken"
                                    + " over. Above suspectAfterMillis."),
                    durationField(
                            "configurationFreshnessMillis",
                            4_000,
                            "Age of the last store contact up to which keyed work is accepted"
                                    + " without a majority of peers. At least"
                                    + " probeValidityMillis."),
                    durationField(
                            "probeValidityMillis",
                            3_000,
                            "How long a probe reply counts, from the time the probe was sent."),
                    durationField(
                            "leaseTtlMillis",
                            30_000,
                            "Lease under which workers run tasks. A task of an unreachable worker"
                                    + " is restarted after it. At least twice"
                                    + " renewIntervalMillis."),
                    durationField(
                            "renewIntervalMillis", 10_000, "Time between two lease renewals."),
                    durationField(
                            "vmListIntervalMillis",
                            1_000,
                            "Time between two polls of the VM list."),
                    durationField(
                            "drainTimeoutMillis",
                            30_000,
                            "How long a stopping daemon waits for accepted requests."),
                    Field.withDefault(
                            "maxRequestBodyBytes",
                            BODY_BYTES,
                            1_048_576L,
                            UNIT_BYTES,
                            "Largest body of a caller's request. Larger ones are refused."),
                    Field.withDefault(
                            "maxAnswerBytes",
                            BODY_BYTES,
                            8_388_608L,
                            UNIT_BYTES,
                            "Largest body of a response to a caller."),
                    Field.withDefault(
                            "eventQueueCapacity",
                            new ValueType.IntegerType(100, 1_000_000),
                            20_000L,
                            "events",
                            "How many events may wait for the control thread. When the queue is"
                                    + " full, new requests are refused."));

    private DaemonSettingsSchema() {}

    private static Field requiredField(String name, ValueType type, String description) {
        return Field.required(name, type, "", description);
    }

    private static Field durationField(String name, long defaultMillis, String description) {
        return Field.withDefault(name, DURATION_MILLIS, defaultMillis, UNIT_MILLIS, description);
    }
}
