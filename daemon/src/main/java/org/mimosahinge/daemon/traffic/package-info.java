/** Calls between callers, nodes and backend servers, each served by one event loop. */
package org.mimosahinge.daemon.traffic;
