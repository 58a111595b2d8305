/** Client of the platform's key-value store. */
package org.jujubefork.client.store;
