/** Tests of the client module that need a server. */
package org.jujubefork.standins.client;
