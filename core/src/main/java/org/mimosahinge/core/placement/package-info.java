/** Decisions on which endpoints of a service a node prefers, so that its knowledge of their load is recent. */
package org.mimosahinge.core.placement;
