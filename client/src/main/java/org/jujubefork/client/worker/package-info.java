/** Client of the workers that run tasks. */
package org.jujubefork.client.worker;
