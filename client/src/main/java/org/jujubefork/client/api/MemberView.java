package org.jujubefork.client.api;

/**
 * Membership state of an entry as seen by the responding entry.
 *
 * @param entry name and incarnation of the entry, such as {@code e1#3}
 * @param region region of the entry
 * @param zone availability zone of the entry
 * @param state {@code alive}, {@code suspect}, {@code failed} or {@code leaving}
 * @param configurationVersion configuration version that the entry last reported
 */
public record MemberView(
        String entry, String region, String zone, String state, long configurationVersion) {}
