/**
 * The links between routers: one gRPC stream in each direction for each pair.
 */
package org.ebonyford.router.peer;
