/** Decisions about which nodes are alive. */
package org.mimosahinge.core.membership;
