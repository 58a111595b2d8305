/** HTTP transport and JSON reading that the clients of all services share. */
package org.jujubefork.client.http;
