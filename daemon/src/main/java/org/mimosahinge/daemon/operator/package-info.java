/** HTTP API on the operator port for operators, metric scrapers and the local backend server. */
package org.mimosahinge.daemon.operator;
