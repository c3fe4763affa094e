package org.ebonyford.gateway.exchange;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.util.concurrent.EventExecutor;

import org.ebonyford.catalog.Catalog;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.Metrics;
import org.ebonyford.gateway.suspect.SuspectCoordinator;
import org.ebonyford.gateway.wire.Adapter;
import org.ebonyford.retry.RetryBudget;
import org.ebonyford.share.OrganisationShares;
import org.ebonyford.share.ShareDecision;
import org.ebonyford.time.Clock;

/**
 * What a request needs of the process that serves it.
 */
public interface ExchangeContext {

	/**
	 * Returns the event loop.
	 * @return the loop on which everything runs
	 */
	EventExecutor eventLoop();

	/**
	 * Returns the monotonic clock.
	 * @return the clock
	 */
	Clock clock();

	/**
	 * Returns the wall clock.
	 * @return the clock, for log lines only
	 */
	Clock wallClock();

	/**
	 * Returns the adapter to the platform.
	 * @return the adapter
	 */
	Adapter adapter();

	/**
	 * Returns the log.
	 * @return the log
	 */
	EventLog log();

	/**
	 * Returns the metrics.
	 * @return the metrics
	 */
	Metrics metrics();

	/**
	 * Returns the configuration in force.
	 * @return the configuration, empty before the first one is known
	 */
	Optional<Catalog> catalog();

	/**
	 * Returns the age of the configuration.
	 * @return the age in milliseconds
	 */
	long catalogAgeMillis();

	/**
	 * Returns whether a key may still be taken for good: a key that was taken away must
	 * not work once its revocation has to be in force.
	 * @return {@code false} if the configuration is too old to know
	 */
	boolean keysCurrent();

	/**
	 * Returns whether requests are still begun that can end before the process does.
	 * @param stream whether the answer is a stream, which may last long
	 * @param averageMillis the time that such a request takes on average, in milliseconds
	 * @return {@code false} from shortly before the process ends
	 */
	boolean canFinish(boolean stream, double averageMillis);

	/**
	 * Returns whether answers are read as they come.
	 * @return {@code false} while what the process measures tells of its own lateness
	 */
	boolean timingsReliable();

	/**
	 * Returns whether requests are read late, so that only as many are taken as the
	 * process can handle.
	 * @return {@code true} while the process is behind its callers
	 */
	boolean readingLate();

	/**
	 * Notes a request, and decides whether the process can handle it.
	 * @param organisation its organisation, empty if it has none
	 * @return whether it is one of those that can be handled, and which part of the
	 * organisation's requests can
	 */
	ShareDecision admitToGateway(String organisation);

	/**
	 * Notes that a request is sent to an upstream.
	 * @param organisation its organisation, empty if it has none
	 */
	void requestSent(String organisation);

	/**
	 * Returns whether callers may have left for long without that being known, so that
	 * none of their requests is taken.
	 * @return {@code true} while requests are handled long after the sockets were read
	 */
	boolean disconnectsUnnoticed();

	/**
	 * Returns a service.
	 * @param name the name
	 * @return the service
	 */
	ServiceState service(String name);

	/**
	 * Returns the upstreams to which a request may be sent now.
	 * @param service the service
	 * @param tried the identifiers of those that are left out
	 * @return the upstreams
	 */
	List<Upstream> candidates(ServiceState service, Set<String> tried);

	/**
	 * Returns the limits on repeats.
	 * @return the budget
	 */
	RetryBudget retryBudget();

	/**
	 * Returns the requests under which upstreams end.
	 * @return the requests, known together with the other gateways
	 */
	SuspectCoordinator suspects();

	/**
	 * Returns the shares of organisations.
	 * @return the shares
	 */
	OrganisationShares shares();

	/**
	 * Returns the counts of what was refused.
	 * @return the counts, which the process writes to the log
	 */
	RefusalTally refusals();

	/**
	 * Returns the memory for answers that are read before they are passed on.
	 * @return the memory, which all requests share
	 */
	ResponseMemoryBudget responseMemory();

	/**
	 * Returns the number of routers that may be alive.
	 * @return the number, this one included
	 */
	int gatewayCount();

	/**
	 * Returns whether the lines of a plain success are written, which is sampled.
	 * @return {@code true} now and then
	 */
	boolean sampleSuccess();

}
