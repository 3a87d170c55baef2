/** Time that calls spend between processes, which their deadlines have to count. */
package org.mimosahinge.core.deadline;
