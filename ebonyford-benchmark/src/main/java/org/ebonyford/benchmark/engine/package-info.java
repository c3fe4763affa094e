/**
 * A model of engines and routers in simulated time, on which policies of placing and
 * refusing are compared.
 */
package org.ebonyford.benchmark.engine;
