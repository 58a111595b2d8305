package org.jujubefork.config.settings;

import org.jujubefork.config.schema.Field;
import org.jujubefork.config.schema.Shape;

/** Declares the settings of an entry daemon. */
public final class DaemonSettingsSchema {
    private static final Shape NAME =
            new Shape.Text(
                    "[A-Za-z0-9._-]{1,100}",
                    "a name of 1 to 100 letters, digits, \".\", \"_\", \"-\"");
    private static final Shape ADDRESS =
            new Shape.Text(HostPort.PATTERN, "an IP address and port such as 127.0.0.1:7400");
    private static final Shape TIME = new Shape.Whole(10, 600_000);
    private static final Shape BODY = new Shape.Whole(1_024, 67_108_864);
    private static final String MS = "ms";
    private static final String BYTES = "bytes";

    /** The top level of the file. */
    public static final Shape.Structure ROOT =
            Shape.Structure.of(
                    required("name", NAME, "Name of the entry, the same after a restart."),
                    required("region", NAME, "Region of the VM, and the site of the overlay."),
                    required("zone", NAME, "Availability zone of the VM."),
                    required("httpAddress", ADDRESS, "Serves callers and operators."),
                    required("peerAddress", ADDRESS, "Serves the other entries."),
                    required("storeAddress", ADDRESS, "The platform's store."),
                    required("vmListAddress", ADDRESS, "The platform's VM list."),
                    required(
                            "seeds",
                            new Shape.ListOf(ADDRESS),
                            "Peer addresses that the entry contacts first. Its own may be among"
                                    + " them."),
                    time("gossipIntervalMillis", 1_000, "Time between two rounds of gossip."),
                    time(
                            "suspectAfterMillis",
                            3_000,
                            "Silence after which a peer is suspected. Above gossipIntervalMillis."),
                    time(
                            "deadAfterMillis",
                            5_000,
                            "Silence after which a peer counts as failed and its shards are taken"
                                    + " over. Above suspectAfterMillis."),
                    time(
                            "configurationFreshnessMillis",
                            4_000,
                            "Age of the last store contact up to which keyed work is accepted"
                                    + " without a majority of peers. At least"
                                    + " probeValidityMillis."),
                    time(
                            "probeValidityMillis",
                            3_000,
                            "How long a probe reply counts, from the time the probe was sent."),
                    time(
                            "leaseTtlMillis",
                            30_000,
                            "Lease under which workers run tasks. A task of an unreachable worker"
                                    + " is restarted after it. At least twice"
                                    + " renewIntervalMillis."),
                    time("renewIntervalMillis", 10_000, "Time between two lease renewals."),
                    time("vmListIntervalMillis", 1_000, "Time between two polls of the VM list."),
                    time(
                            "drainTimeoutMillis",
                            30_000,
                            "How long a stopping daemon waits for accepted requests."),
                    Field.withDefault(
                            "maxRequestBodyBytes",
                            BODY,
                            1_048_576L,
                            BYTES,
                            "Largest body of a caller's request. Larger ones are refused."),
                    Field.withDefault(
                            "maxAnswerBytes",
                            BODY,
                            8_388_608L,
                            BYTES,
                            "Largest body of a response to a caller."),
                    Field.withDefault(
                            "eventQueueCapacity",
                            new Shape.Whole(100, 1_000_000),
                            20_000L,
                            "events",
                            "How many events may wait for the control thread. When the queue is"
                                    + " full, new requests are refused."));

    private DaemonSettingsSchema() {}

    private static Field required(String name, Shape shape, String effect) {
        return Field.required(name, shape, "", effect);
    }

    private static Field time(String name, long defaultMillis, String effect) {
        return Field.withDefault(name, TIME, defaultMillis, MS, effect);
    }
}
