/** Short requests: authentication, routing, claims, retries and answers. */
package org.jujubefork.core.requests;
