/** Measures the control plane with many nodes in one process, connected by sockets of the loopback interface. */
package org.mimosahinge.bench.control;
