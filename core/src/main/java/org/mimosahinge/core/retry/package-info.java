/** Decisions on whether a failed call is tried again and how an interrupted download goes on. */
package org.mimosahinge.core.retry;
