/** Decisions on whether a failed call is retried and how an interrupted download is resumed. */
package org.mimosahinge.core.retry;
