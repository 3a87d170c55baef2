/** Measures routing and admission under overload in a simulation of one service without a network. */
package org.mimosahinge.bench.overload;
