package org.jujubefork.client.vms;

/** The VM list gave no usable answer. */
public final class VmListException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that names the failure. */
    public VmListException(String message) {
        super(message);
    }

    /** Creates an exception with a cause. */
    public VmListException(String message, Throwable cause) {
        super(message, cause);
    }
}
