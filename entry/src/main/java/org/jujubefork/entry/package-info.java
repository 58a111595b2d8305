/** The entry daemon, which assembles the control loop, the effect executors and the servers. */
package org.jujubefork.entry;
