/** Decisions on how many calls a backend server gets that has started or recovered. */
package org.mimosahinge.core.pace;
