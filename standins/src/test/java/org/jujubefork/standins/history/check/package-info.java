/** Checkers that judge recorded histories against the promises of the design page. */
package org.jujubefork.standins.history.check;
