/** One class for each promise: real processes, faults, histories taken from outside, checkers. */
package org.jujubefork.standins.proof;
