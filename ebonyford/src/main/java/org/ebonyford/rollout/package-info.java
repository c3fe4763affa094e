/**
 * Decides how the requests of a service move to another software version of its
 * upstreams, and when such a roll-out is completed or rolled back.
 */
package org.ebonyford.rollout;
