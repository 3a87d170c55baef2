/** Decisions on calls that run at most once. */
package org.mimosahinge.core.once;
