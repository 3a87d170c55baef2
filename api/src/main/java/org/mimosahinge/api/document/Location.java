package org.mimosahinge.api.document;

/**
 * A position in a file.
 *
 * @param line line number starting at 1
 * @param column column number in characters starting at 1
 */
record Location(int line, int column) {}
