/** The HTTP servers for callers and operators. */
package org.jujubefork.entry.http;
