/** The demo, the entry point of the measurements, and the processes and clients that they use. */
package org.mimosahinge.bench;
