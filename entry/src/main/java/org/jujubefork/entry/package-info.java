/** Placeholder. */
package org.jujubefork.entry;
