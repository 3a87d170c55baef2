/** The command-line client of operators. */
package org.mimosahinge.cli;
