/**
 * HTTP API for callers and operators: a client and the messages, which the daemon also uses.
 *
 * <p>Messages are JSON objects whose fields are the components of the records here. Empty optional
 * values are omitted. Unknown fields are ignored in responses and rejected in requests.
 */
package org.jujubefork.client.api;
