/** Detects failed nodes and orders the reports of backend servers. */
package org.mimosahinge.core.membership;
