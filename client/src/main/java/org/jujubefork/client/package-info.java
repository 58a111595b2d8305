/** Placeholder. */
package org.jujubefork.client;
