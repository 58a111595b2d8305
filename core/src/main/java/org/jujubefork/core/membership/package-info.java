/** Cluster membership by gossip, failure detection, and freshness of the configuration. */
package org.jujubefork.core.membership;
