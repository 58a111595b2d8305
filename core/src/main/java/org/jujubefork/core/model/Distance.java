package org.jujubefork.core.model;

/** How far two VMs are apart, nearest first. */
public enum Distance {
    /** In the same availability zone. */
    SAME_ZONE,
    /** In the same region, but in another availability zone. */
    SAME_REGION,
    /** In another region; traffic is slow and billed. */
    OTHER_REGION
}
