/** HTTP clients of the platform's services; packages by service. */
package org.jujubefork.client;
