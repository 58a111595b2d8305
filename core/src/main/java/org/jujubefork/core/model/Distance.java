package org.jujubefork.core.model;

/** Network distance between two VMs, nearest first. */
public enum Distance {
    /** In the same availability zone. */
    SAME_ZONE,
    /** In different availability zones of the same region. */
    SAME_REGION,
    /** In different regions; traffic has a high latency and is billed. */
    OTHER_REGION
}
