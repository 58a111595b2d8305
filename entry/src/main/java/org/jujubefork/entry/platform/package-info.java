/** Executors and watchers that connect the control thread to workers, store and VM list. */
package org.jujubefork.entry.platform;
