/**
 * The configuration that operators publish: plans, organisations, pools, upstreams and
 * what each plan may use.
 */
package org.ebonyford.configuration;
