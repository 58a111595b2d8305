/** Placeholder. */
package org.jujubefork.config;
