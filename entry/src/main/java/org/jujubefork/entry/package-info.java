/** The entry daemon: assembles the control loop, the executors of effects and the servers. */
package org.jujubefork.entry;
