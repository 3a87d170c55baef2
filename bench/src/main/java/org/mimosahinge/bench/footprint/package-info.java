/** Measures memory, CPU time and control bytes of a daemon. */
package org.mimosahinge.bench.footprint;
