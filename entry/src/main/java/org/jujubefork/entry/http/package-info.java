/** The HTTP API of an entry for callers and operators. */
package org.jujubefork.entry.http;
