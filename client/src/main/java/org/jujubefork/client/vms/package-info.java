/** Client of the platform's VM list. */
package org.jujubefork.client.vms;
