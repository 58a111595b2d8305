/** Placeholder. */
package org.jujubefork.bench;
