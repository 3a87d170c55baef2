/** Measures the time that calls spend between processes and in queues, which counts against their deadlines. */
package org.mimosahinge.core.deadline;
