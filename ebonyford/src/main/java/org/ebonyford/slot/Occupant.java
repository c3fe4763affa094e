package org.ebonyford.slot;

import org.ebonyford.identity.GrantId;
import org.ebonyford.identity.OrganisationId;
import org.ebonyford.identity.VmId;

/**
 * What occupies a slot: the request that a grant permits to send.
 */
public final class Occupant {

	/**
	 * The grant.
	 */
	private final GrantId grant;

	/**
	 * The organisation whose request it is.
	 */
	private final OrganisationId organisation;

	/**
	 * The clock reading in milliseconds at which the owner learned of the grant.
	 */
	private final long since;

	/**
	 * The clock reading in milliseconds after which the request is not sent any more.
	 */
	private final long expiresAt;

	/**
	 * The VM of the entry router.
	 */
	private VmId entry;

	/**
	 * The clock reading in milliseconds at which the entry router last confirmed that the
	 * request runs.
	 */
	private long seenAt;

	/**
	 * Creates an occupant.
	 * @param grant the grant
	 * @param organisation the organisation whose request it is
	 * @param entry the VM of the entry router
	 * @param now the clock reading in milliseconds
	 * @param expiresAt the clock reading in milliseconds after which the request is not
	 * sent any more
	 */
	public Occupant(GrantId grant, OrganisationId organisation, VmId entry, long now, long expiresAt) {
		this.grant = grant;
		this.organisation = organisation;
		this.entry = entry;
		this.since = now;
		this.seenAt = now;
		this.expiresAt = expiresAt;
	}

	/**
	 * Returns the grant.
	 * @return the grant that permits to send the request
	 */
	public GrantId grant() {
		return this.grant;
	}

	/**
	 * Returns the organisation.
	 * @return the organisation whose request it is
	 */
	public OrganisationId organisation() {
		return this.organisation;
	}

	/**
	 * Returns the entry router.
	 * @return the VM of the router that runs the request
	 */
	public VmId entry() {
		return this.entry;
	}

	/**
	 * Returns the end of the grant.
	 * @return the clock reading in milliseconds after which the request is not sent any
	 * more
	 */
	public long expiresAt() {
		return this.expiresAt;
	}

	boolean ran(long from, long until) {
		return this.since <= from && this.seenAt >= until;
	}

	boolean silent(long now, long silenceMillis) {
		return now > this.expiresAt && now - this.seenAt > silenceMillis;
	}

	void seen(VmId by, long now) {
		this.entry = by;
		this.seenAt = now;
	}

}
