/** Measures calls through traffic planes under injected faults. */
package org.mimosahinge.bench.calls;
