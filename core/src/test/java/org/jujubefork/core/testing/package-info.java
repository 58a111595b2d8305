/** A small cluster in memory: entries that run the reducer, and fakes of what they talk to. */
package org.jujubefork.core.testing;
