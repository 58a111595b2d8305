/** Stand-in of the platform's VM list. */
package org.jujubefork.standins.vms;
