/** Decisions at the node next to an endpoint on which calls run, wait or are refused. */
package org.mimosahinge.core.admission;
