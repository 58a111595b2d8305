/**
 * The HTTP API of callers and operators: its messages, which the daemon shares, and a client.
 *
 * <p>Messages are JSON objects whose fields are the components of the records here. Absent optional
 * values are left out. Readers of answers ignore unknown fields, readers of requests refuse them.
 */
package org.jujubefork.client.api;
