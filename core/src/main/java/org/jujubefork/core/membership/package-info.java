/** Liveness of entries by gossip, and freshness of the configuration. */
package org.jujubefork.core.membership;
