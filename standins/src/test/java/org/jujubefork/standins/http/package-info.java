/** Small HTTP server on Grizzly that runs handlers on virtual threads. */
package org.jujubefork.standins.http;
