package org.jujubefork.client.vms;

/** The VM list could not be read. */
public final class VmListException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message describes the failure. */
    public VmListException(String message) {
        super(message);
    }

    /** Creates an exception caused by a malformed response. */
    public VmListException(String message, Throwable cause) {
        super(message, cause);
    }
}
