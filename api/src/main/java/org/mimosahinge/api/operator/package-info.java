/** Request and response bodies of the operator API of a daemon. */
package org.mimosahinge.api.operator;
