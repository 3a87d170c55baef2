/** What a team agrees with the mesh in its section of the document. */
package org.mimosahinge.api.contract;
