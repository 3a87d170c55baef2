/** Measures calls under faults. */
package org.mimosahinge.bench.calls;
