/** Lookups and commands: access control, routing, claims, retries and answers. */
package org.jujubefork.core.requests;
