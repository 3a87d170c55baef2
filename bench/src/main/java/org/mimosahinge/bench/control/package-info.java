/** Measurements of the control plane with many nodes in one process, joined by real sockets on loopback. */
package org.mimosahinge.bench.control;
