/** HTTP on the operator port: operators, scrapers and the backend server beside the node. */
package org.mimosahinge.daemon.operator;
