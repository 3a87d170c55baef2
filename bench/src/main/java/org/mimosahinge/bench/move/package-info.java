/** Measures move policies with generated call outcomes and a virtual clock. */
package org.mimosahinge.bench.move;
