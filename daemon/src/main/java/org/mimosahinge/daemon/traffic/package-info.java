/** Forwards calls between callers, nodes and backend servers; each call is handled by one event loop. */
package org.mimosahinge.daemon.traffic;
