/** Bodies of requests and responses on a daemon's operator port. */
package org.mimosahinge.api.operator;
