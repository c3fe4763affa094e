package org.ebonyford.gateway.exchange;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.util.concurrent.EventExecutor;

import org.ebonyford.catalog.Catalog;
import org.ebonyford.gateway.log.EventLog;
import org.ebonyford.gateway.log.Metrics;
import org.ebonyford.gateway.rollout.RolloutManager;
import org.ebonyford.gateway.suspect.SuspectCoordinator;
import org.ebonyford.gateway.wire.Adapter;
import org.ebonyford.retry.RetryBudget;
import org.ebonyford.share.OrganisationShares;
import org.ebonyford.share.ShareDecision;
import org.ebonyford.time.Clock;

/**
 * Gives an exchange access to the state and the services of its gateway process.
 */
public interface ExchangeContext {

	/**
	 * Returns the event loop.
	 * @return the loop on which all exchanges run
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
	 * Returns the adapter to the platform's wire formats.
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
	 * @return the configuration, empty until a first one is complete
	 */
	Optional<Catalog> catalog();

	/**
	 * Returns the age of the configuration.
	 * @return the age in milliseconds
	 */
	long catalogAgeMillis();

	/**
	 * Returns whether peers know a newer configuration than the store has returned since,
	 * as it has come back from an older copy.
	 * @return {@code true} until the operator has written the newer one again
	 */
	boolean catalogSuperseded();

	/**
	 * Returns whether the configuration is recent enough to accept keys: a revoked key
	 * must not work once its revocation has to be in force.
	 * @return {@code false} if the configuration is too old
	 */
	boolean keysCurrent();

	/**
	 * Returns whether what this process read from the store may be used, after it was
	 * held up or suspended only once it has been read again. While the store is away,
	 * what is known is used.
	 * @return {@code false} from the end of a stall until the store has answered
	 */
	boolean storeViewCurrent();

	/**
	 * Returns whether a new request can finish before the process ends.
	 * @param stream whether the response is a stream, which may last long
	 * @param averageMillis the average duration of such a request in milliseconds
	 * @return {@code false} from shortly before the process ends
	 */
	boolean canFinish(boolean stream, double averageMillis);

	/**
	 * Returns whether responses are read as soon as they arrive, so that measured
	 * response times are those of the upstreams.
	 * @return {@code false} while measurements include delays of this process
	 */
	boolean timingsReliable();

	/**
	 * Returns whether requests are read late, so that only as many are admitted as the
	 * process can handle.
	 * @return {@code true} while the process cannot keep up with its callers
	 */
	boolean readingLate();

	/**
	 * Counts an incoming request and decides whether the process can handle it.
	 * @param organisation its organisation, empty if it has none
	 * @return whether the request can be handled, and the part of the organisation's
	 * requests that can
	 */
	ShareDecision admitToGateway(String organisation);

	/**
	 * Counts a request that is about to be sent to an upstream.
	 * @param organisation its organisation, empty if it has none
	 */
	void requestSent(String organisation);

	/**
	 * Returns whether callers may have disconnected long ago without the process having
	 * noticed, so that requests are refused.
	 * @return {@code true} while requests are handled long after the last read of the
	 * sockets
	 */
	boolean disconnectsUnnoticed();

	/**
	 * Returns a service.
	 * @param name the name
	 * @return its state
	 */
	ServiceState service(String name);

	/**
	 * Returns the upstreams to which a request may be sent now.
	 * @param service the service
	 * @param tried the identifiers of upstreams to exclude
	 * @return the upstreams
	 */
	List<Upstream> candidates(ServiceState service, Set<String> tried);

	/**
	 * Returns the budget that limits retries.
	 * @return the budget of all services
	 */
	RetryBudget retryBudget();

	/**
	 * Returns the requests suspected of crashing upstreams.
	 * @return the requests, shared with the other gateways
	 */
	SuspectCoordinator suspects();

	/**
	 * Returns the roll-outs that the operator has ordered.
	 * @return the roll-outs, which restrict the versions for requests
	 */
	RolloutManager rollouts();

	/**
	 * Returns what is known of the software versions that began streams.
	 * @return the lookup
	 */
	OriginLookup origins();

	/**
	 * Returns the shares of organisations.
	 * @return the shares
	 */
	OrganisationShares shares();

	/**
	 * Returns the counts of admitted and refused requests.
	 * @return the counts, which the process logs regularly
	 */
	RefusalTally refusals();

	/**
	 * Returns whether the memory of streams may be copied to a second engine.
	 * @return {@code true} if the settings allow it
	 */
	boolean streamBackups();

	/**
	 * Returns the memory budget of responses that are buffered completely before they are
	 * forwarded.
	 * @return the budget, which all requests share
	 */
	ResponseMemoryBudget responseMemory();

	/**
	 * Returns the number of gateways that may be alive.
	 * @return the number, this one included
	 */
	int gatewayCount();

	/**
	 * Returns whether to log the next successful request; successes are sampled.
	 * @return {@code true} if its lines are written
	 */
	boolean sampleSuccess();

	/**
	 * Returns whether the prompts that wait at an engine are limited, so that its streams
	 * do not pause for too long.
	 * @return {@code true} if the platform's terms call for it
	 */
	boolean limitsPrefill();

}
