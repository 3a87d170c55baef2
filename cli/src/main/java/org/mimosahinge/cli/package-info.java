/** Command-line client for operators. */
package org.mimosahinge.cli;
