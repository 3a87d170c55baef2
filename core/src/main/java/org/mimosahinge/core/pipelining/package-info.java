/** Decisions on requests that follow each other on one connection of a caller. */
package org.mimosahinge.core.pipelining;
