/** Measures the latency that the mesh adds to a call. */
package org.mimosahinge.bench.latency;
