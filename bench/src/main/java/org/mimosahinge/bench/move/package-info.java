/** Measures move policies on generated call outcomes under a virtual clock. */
package org.mimosahinge.bench.move;
