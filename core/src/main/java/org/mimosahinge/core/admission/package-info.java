/** Decisions at the node beside an endpoint on which calls run, wait or are refused. */
package org.mimosahinge.core.admission;
