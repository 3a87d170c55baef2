package org.mimosahinge.api.document;

/**
 * A place in a file.
 *
 * @param line the line, from 1
 * @param column the column in characters, from 1
 */
record Location(int line, int column) {}
