package org.mimosahinge.api.contract;

/** Priority class of a call, highest first. */
public enum CallClass {
    /** Internal checks such as balance, availability, stock and standing. */
    INTERNAL_CHECK,
    /** Payments, dispatches and exchange confirmations. */
    CONFIRMATION,
    /** Pages that a person waits for. */
    INTERACTIVE,
    /** Long downloads. */
    DOWNLOAD,
    /** Work that nobody waits for. */
    BATCH
}
