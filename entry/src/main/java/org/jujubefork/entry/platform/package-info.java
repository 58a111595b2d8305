/** Effects and polls towards the workers, the store and the VM list of the platform. */
package org.jujubefork.entry.platform;
