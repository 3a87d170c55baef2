/** A model of one service under overload, which plays the product's decisions against baselines without a network. */
package org.mimosahinge.bench.overload;
