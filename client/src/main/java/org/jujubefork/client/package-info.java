/** HTTP clients for the platform's services, one package per service. */
package org.jujubefork.client;
