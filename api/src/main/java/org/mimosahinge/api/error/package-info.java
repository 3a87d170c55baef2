/** Exceptions with stable error codes. */
package org.mimosahinge.api.error;
