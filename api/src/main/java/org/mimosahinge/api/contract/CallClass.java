package org.mimosahinge.api.contract;

/** Priority class of a call, ordered from highest to lowest priority. */
public enum CallClass {
    /** Internal checks such as balance, availability, stock and standing. */
    INTERNAL_CHECK,
    /** Payments, dispatches and exchange confirmations. */
    CONFIRMATION,
    /** Pages that a user waits for. */
    INTERACTIVE,
    /** Long downloads. */
    DOWNLOAD,
    /** Background work that no user waits for. */
    BATCH
}
