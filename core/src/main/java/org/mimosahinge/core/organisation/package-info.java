/** Decisions on the calls of organisations: who may call, and how much. */
package org.mimosahinge.core.organisation;
