/** Stand-in of many workers in one process. */
package org.jujubefork.standins.fleet;
