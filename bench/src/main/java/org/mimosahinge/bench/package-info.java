/** Demo and measurements with the programs of this repository as separate processes. */
package org.mimosahinge.bench;
