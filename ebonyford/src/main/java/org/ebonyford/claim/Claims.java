package org.ebonyford.claim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.ebonyford.claim.Attempt.Phase;
import org.ebonyford.claim.ClaimRecord.Kind;
import org.ebonyford.effect.Effect;
import org.ebonyford.effect.Outbox;
import org.ebonyford.event.Event;
import org.ebonyford.event.Event.AppendEnded.Result;
import org.ebonyford.identity.Incarnation;
import org.ebonyford.identity.RequestId;
import org.ebonyford.identity.VmId;
import org.ebonyford.log.LogEvent;
import org.ebonyford.message.PeerMessage;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Outcome;
import org.ebonyford.request.RefusalReason;
import org.ebonyford.request.Request;
import org.ebonyford.request.StoredAnswer;

/**
 * Lets a request that may not be repeated run at most once. Its key is claimed in the
 * log, only the holder of the claim sends the request, and how it ended is stated in the
 * log. A repeat gets the first one's answer.
 *
 * <p>
 * A request that is refused as not run is forgotten together with its claim. If the claim
 * shows up in the log afterwards, it is released and nothing is sent.
 */
public final class Claims {

	/**
	 * The settings.
	 */
	private final ClaimSettings settings;

	/**
	 * This process.
	 */
	private final Incarnation self;

	/**
	 * Is told which requests may be sent.
	 */
	private final ClaimListener listener;

	/**
	 * What the log says.
	 */
	private final ClaimTable table;

	/**
	 * The statements on their way to the log.
	 */
	private final ClaimWriter writer;

	/**
	 * The processes that have ended.
	 */
	private final Holders holders;

	/**
	 * The repeats that wait.
	 */
	private final Waiters waiters = new Waiters();

	/**
	 * This process's own work.
	 */
	private final Attempts attempts = new Attempts();

	/**
	 * How far the log was read.
	 */
	private final ReadProgress progress;

	/**
	 * Tells the wall-clock time.
	 */
	private final WallClock wallClock = new WallClock();

	/**
	 * Restates what the log is about to remove.
	 */
	private final Restatement restatement;

	/**
	 * Gives requests their final answers.
	 */
	private final FinalAnswers answers;

	/**
	 * The names of the claims of ended processes whose outcome this process states to be
	 * unknown.
	 */
	private final Set<String> declared = new HashSet<>();

	/**
	 * The statements that another router is asked to append.
	 */
	private final HandOver handOver;

	/**
	 * The statements that this event brought and that were handed to nobody yet.
	 */
	private final List<ClaimRecord> fresh = new ArrayList<>();

	/**
	 * Whether this process is about to stop and takes no statements of others.
	 */
	private boolean stopping;

	/**
	 * Creates claims that know nothing of the log yet.
	 * @param settings the settings
	 * @param self this process
	 * @param listener is told which requests may be sent
	 */
	public Claims(ClaimSettings settings, Incarnation self, ClaimListener listener) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.self = Objects.requireNonNull(self, "self");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.table = new ClaimTable(settings.windowMillis(), settings.maxAnswerCharacters());
		this.writer = new ClaimWriter(settings);
		this.holders = new Holders(self);
		this.handOver = new HandOver(self.vm(), settings.handOverMillis());
		this.progress = new ReadProgress(settings);
		this.restatement = new Restatement(settings, self, this.table, this.writer);
		this.answers = new FinalAnswers(settings.retryAfterMillis());
	}

	/**
	 * Takes a request that may not be repeated. It is passed to the listener once its
	 * claim holds, or gets its final answer.
	 * @param now the router's clock reading in milliseconds
	 * @param epochMillis the wall-clock time in milliseconds since the epoch, which is
	 * only used before the first tick, since it may be older than the clock reading
	 * @param request the request, which has a key
	 * @param outbox takes the effects
	 */
	public void begin(long now, long epochMillis, Request request, Outbox outbox) {
		this.wallClock.observeFirst(now, epochMillis);
		route(now, request, outbox);
		append(now, outbox);
	}

	private void route(long now, Request request, Outbox outbox) {
		ClaimKey key = new ClaimKey(request.organisation(), request.key().orElseThrow());
		Optional<ClaimRecord> known = this.table.find(key)
			.filter((entry) -> !entry.expiredAt(this.wallClock.at(now), this.settings.windowMillis()))
			.map(ClaimTable.Entry::statement);
		Optional<Attempt> own = this.attempts.find(key);
		if (!this.progress.complete() && known.filter((record) -> record.kind() != Kind.CLAIM).isEmpty()) {
			this.answers.refuse(request.id(), RefusalReason.CLAIMS_INCOMPLETE, Outcome.NOT_RUN, outbox);
		}
		else if (known.isPresent()) {
			repeat(now, request, own.flatMap(Claims::end).orElse(known.get()), outbox);
		}
		else if (own.isPresent()) {
			repeat(now, request, own.flatMap(Claims::end).orElse(own.get().claim()), outbox);
		}
		else {
			claim(now, key, request, outbox);
		}
	}

	private static Optional<ClaimRecord> end(Attempt attempt) {
		return attempt.end().filter((record) -> record.kind() != Kind.RELEASE);
	}

	private void repeat(long now, Request request, ClaimRecord known, Outbox outbox) {
		if (known.kind() != Kind.CLAIM || !known.fingerprint().equals(request.fingerprint())) {
			this.answers.conclude(request, known, outbox);
		}
		else if (this.holders.ended(known.holder())) {
			this.answers.conclude(request, declareUnknown(known, outbox), outbox);
		}
		else if (this.waiters.size() >= this.settings.maxWaiting()) {
			this.answers.refuse(request.id(), RefusalReason.KEY_IN_USE, Outcome.UNKNOWN, outbox);
		}
		else if (this.waiters.add(known, request, now)) {
			ask(now, outbox);
		}
	}

	private ClaimRecord declareUnknown(ClaimRecord claim, Outbox outbox) {
		ClaimRecord unknown = claim.ended(Kind.UNKNOWN, Optional.empty());
		if (this.declared.add(claim.claimId())) {
			this.fresh.add(unknown);
			outbox.add(new Effect.Note(LogEvent.CLAIM_UNKNOWN, claim.claimId()));
		}
		return unknown;
	}

	private void claim(long now, ClaimKey key, Request request, Outbox outbox) {
		if (!this.progress.reachable()) {
			this.answers.refuse(request.id(), RefusalReason.LOG_UNAVAILABLE, Outcome.NOT_RUN, outbox);
			return;
		}
		if (full(key)) {
			this.answers.refuse(request.id(), RefusalReason.QUEUE_FULL, Outcome.NOT_RUN, outbox);
			return;
		}
		String name = this.self.vm() + "-" + this.self.number() + "-" + this.attempts.nextNumber();
		Attempt attempt = new Attempt(request, new ClaimRecord(Kind.CLAIM, name, key.organisation(), key.key(),
				request.fingerprint(), this.self, this.wallClock.at(now), Optional.empty()), now);
		this.attempts.add(attempt);
		submit(attempt);
	}

	private boolean full(ClaimKey key) {
		return this.table.size() + this.attempts.pending() >= this.settings.maxKeys()
				|| this.table.size(key.organisation()) >= this.settings.maxKeysPerOrganisation();
	}

	private void submit(Attempt attempt) {
		this.attempts.await(attempt);
		this.fresh.add(attempt.claim());
	}

	private void append(long now, Outbox outbox) {
		handOver(now, outbox);
		this.writer.start(now).ifPresent((append) -> {
			appended(append.records());
			outbox.add(append);
		});
	}

	private void handOver(long now, Outbox outbox) {
		if (this.fresh.isEmpty()) {
			return;
		}
		List<ClaimRecord> statements = List.copyOf(this.fresh);
		this.fresh.clear();
		Optional<VmId> other = this.handOver.writer(now);
		if (other.isEmpty()) {
			statements.forEach(this.writer::add);
			return;
		}
		appended(statements);
		this.handOver.handed(now, other.get(), statements);
		outbox.add(new Effect.ToPeer(other.get(), new PeerMessage.ClaimHandOver(statements)));
	}

	private void appended(List<ClaimRecord> statements) {
		statements.stream()
			.filter((record) -> record.kind() == Kind.CLAIM)
			.flatMap((record) -> this.attempts.find(record).stream())
			.filter((attempt) -> attempt.phase() == Phase.QUEUED)
			.forEach((attempt) -> attempt.phase(Phase.APPENDED));
	}

	/**
	 * Takes the routers of this data centre, of which one appends the statements of all.
	 * @param now the router's clock reading in milliseconds
	 * @param routers the routers, the one to be asked first at the front
	 * @param outbox takes the effects
	 */
	public void writers(long now, List<VmId> routers, Outbox outbox) {
		this.handOver.order(routers);
		append(now, outbox);
	}

	/**
	 * Notes that a router was silent for too long, so that it appends nothing for others.
	 * @param now the router's clock reading in milliseconds
	 * @param vm the VM of the router
	 * @param outbox takes the effects
	 */
	public void peerLost(long now, VmId vm, Outbox outbox) {
		this.handOver.lost(now, vm).forEach(this.writer::add);
		append(now, outbox);
	}

	/**
	 * Notes that this process is about to stop. What it was handed by other routers is
	 * still appended, and nothing further is taken from them.
	 */
	public void stopping() {
		this.stopping = true;
	}

	/**
	 * Returns whether a request may be sent at this moment.
	 * @param request the request
	 * @return {@code true} if its claim holds and it was not sent
	 */
	public boolean maySend(RequestId request) {
		return this.attempts.find(request).filter((attempt) -> attempt.phase() == Phase.HELD).isPresent();
	}

	/**
	 * Notes that a request was handed to be sent and from now on may have run.
	 * @param now the router's clock reading in milliseconds
	 * @param request the request
	 * @throws IllegalStateException if the request may not be sent
	 */
	public void sending(long now, RequestId request) {
		if (!maySend(request)) {
			throw new IllegalStateException("The request " + request + " may not be sent");
		}
		this.attempts.find(request).orElseThrow().phase(Phase.SENT);
	}

	/**
	 * Notes that a request that was handed to be sent did not run and goes on waiting.
	 * Its claim still holds.
	 * @param now the router's clock reading in milliseconds
	 * @param request the request
	 */
	public void notRun(long now, RequestId request) {
		Attempt attempt = this.attempts.find(request).orElse(null);
		if (attempt != null && attempt.phase() == Phase.SENT) {
			attempt.phase(Phase.HELD);
		}
	}

	/**
	 * Notes that a request is over.
	 * @param now the router's clock reading in milliseconds
	 * @param request the request
	 * @param ending how its exchange ended
	 * @param answer the upstream's answer, if it can be kept
	 * @param outbox takes the effects
	 */
	public void ended(long now, RequestId request, Ending ending, Optional<StoredAnswer> answer, Outbox outbox) {
		Attempt attempt = this.attempts.find(request).orElse(null);
		if (attempt == null || attempt.phase() == Phase.OVER) {
			return;
		}
		if (attempt.phase() != Phase.SENT) {
			withdraw(now, attempt, outbox);
		}
		else {
			end(attempt, statement(attempt, ending, answer), outbox);
		}
		append(now, outbox);
	}

	private static ClaimRecord statement(Attempt attempt, Ending ending, Optional<StoredAnswer> answer) {
		Optional<StoredAnswer> kept = answer.filter((whole) -> whole.body().length() <= StoredAnswer.MAX_BODY);
		return switch (ending) {
			case COMPLETED -> attempt.claim().ended(Kind.RAN, kept);
			case NOT_SENT, DECLINED -> attempt.claim().ended(Kind.RELEASE, Optional.empty());
			case BROKEN, CANCELLED -> attempt.claim().ended(Kind.UNKNOWN, Optional.empty());
		};
	}

	private void end(Attempt attempt, ClaimRecord statement, Outbox outbox) {
		this.attempts.settled(attempt);
		attempt.end(statement);
		this.fresh.add(statement);
		if (statement.kind() == Kind.UNKNOWN) {
			outbox.add(new Effect.Note(LogEvent.CLAIM_UNKNOWN, statement.claimId()));
		}
		if (statement.kind() != Kind.RELEASE) {
			this.waiters.removeAll(attempt.key()).forEach((repeat) -> this.answers.conclude(repeat, statement, outbox));
		}
	}

	/**
	 * Gives a request its final answer, since its caller left or its deadline passed. A
	 * request that was not sent will not be sent.
	 * @param now the router's clock reading in milliseconds
	 * @param request the request
	 * @param outbox takes the effects
	 */
	public void abandoned(long now, RequestId request, Outbox outbox) {
		if (this.waiters.remove(request)) {
			this.answers.refuseForGood(request, RefusalReason.DEADLINE, Outcome.UNKNOWN, outbox);
			return;
		}
		Attempt attempt = this.attempts.find(request).orElse(null);
		if (attempt == null || attempt.phase() == Phase.OVER) {
			return;
		}
		if (attempt.phase() == Phase.SENT) {
			this.answers.refuseForGood(request, RefusalReason.DEADLINE, Outcome.UNKNOWN, outbox);
			return;
		}
		this.answers.refuseForGood(request, RefusalReason.DEADLINE, Outcome.NOT_RUN, outbox);
		withdraw(now, attempt, outbox);
		append(now, outbox);
	}

	private void withdraw(long now, Attempt attempt, Outbox outbox) {
		this.fresh.remove(attempt.claim());
		this.writer.withdraw(attempt.claim());
		this.handOver.withdraw(attempt.claim());
		if (this.table.holds(attempt.claim())) {
			end(attempt, attempt.claim().ended(Kind.RELEASE, Optional.empty()), outbox);
			return;
		}
		this.attempts.remove(attempt);
		reroute(now, attempt.key(), outbox);
	}

	private void reroute(long now, ClaimKey key, Outbox outbox) {
		this.waiters.removeAll(key).forEach((repeat) -> route(now, repeat, outbox));
	}

	/**
	 * Takes what was read from the log.
	 * @param event what was read
	 * @param outbox takes the effects
	 */
	public void read(Event.ClaimsRead event, Outbox outbox) {
		if (this.progress.begin(event)) {
			resumed(event.at(), outbox);
		}
		boolean live = this.progress.complete() && event.next() >= event.end();
		event.records().forEach((record) -> apply(event.at(), record, live, outbox));
		this.progress.finish(event);
		append(event.at(), outbox);
	}

	private void apply(long now, ClaimRecord record, boolean live, Outbox outbox) {
		if (record.kind() == Kind.CLAIM) {
			this.wallClock.claimed(now, record);
			this.holders.seen(record.holder());
		}
		this.handOver.read(now, record);
		this.table.apply(record, live ? this.wallClock.at(now) : this.wallClock.latestClaim());
		switch (record.kind()) {
			case CLAIM -> claimed(now, record, outbox);
			case RELEASE -> released(now, record, outbox);
			case RAN, UNKNOWN -> stated(now, record, outbox);
		}
	}

	private void claimed(long now, ClaimRecord record, Outbox outbox) {
		Attempt attempt = this.attempts.find(record).orElse(null);
		if (attempt == null) {
			if (record.holder().equals(this.self) && this.table.holds(record)) {
				this.fresh.add(record.ended(Kind.RELEASE, Optional.empty()));
			}
		}
		else if (attempt.phase() == Phase.APPENDED && attempt.claim().equals(record)) {
			settle(now, attempt, outbox);
		}
	}

	private void settle(long now, Attempt attempt, Outbox outbox) {
		this.attempts.settled(attempt);
		if (!this.table.holds(attempt.claim())) {
			lose(now, attempt, outbox);
		}
		else if (attempt.stale()) {
			confirm(now, attempt);
		}
		else {
			attempt.phase(Phase.HELD);
			this.listener.held(now, attempt.request(), outbox);
		}
	}

	private void lose(long now, Attempt attempt, Outbox outbox) {
		this.attempts.remove(attempt);
		route(now, attempt.request(), outbox);
		reroute(now, attempt.key(), outbox);
	}

	private void confirm(long now, Attempt attempt) {
		long time = Math.max(this.wallClock.at(now), attempt.claim().createdAt() + 1);
		attempt.renew(attempt.claim().renewed(time), now);
		submit(attempt);
	}

	private void released(long now, ClaimRecord record, Outbox outbox) {
		Attempt attempt = this.attempts.find(record).orElse(null);
		if (attempt != null && attempt.end().filter((end) -> end.kind() == Kind.RELEASE).isPresent()) {
			this.attempts.remove(attempt);
		}
		if (this.table.find(ClaimKey.of(record)).isEmpty()) {
			reroute(now, ClaimKey.of(record), outbox);
		}
	}

	private void stated(long now, ClaimRecord record, Outbox outbox) {
		this.declared.remove(record.claimId());
		Attempt attempt = this.attempts.find(record).orElse(null);
		if (attempt != null && attempt.end().filter((end) -> end.kind() == record.kind()).isPresent()) {
			this.attempts.remove(attempt);
		}
		ClaimKey key = ClaimKey.of(record);
		Attempt overtaken = this.attempts.find(key).orElse(null);
		if (overtaken != null && overtaken.phase() == Phase.HELD
				&& !this.table.find(key).filter((entry) -> entry.sameClaim(overtaken.claim())).isPresent()) {
			this.listener.suspended(now, overtaken.request(), outbox);
			lose(now, overtaken, outbox);
		}
		if (this.table.find(key).filter(ClaimTable.Entry::ended).isPresent()) {
			reroute(now, key, outbox);
		}
	}

	/**
	 * Notes that the log could not be read. Claims that wait for it are refused when
	 * their patience ends.
	 * @param now the router's clock reading in milliseconds
	 * @param outbox takes the effects
	 */
	public void logUnreachable(long now, Outbox outbox) {
		this.progress.unreachable();
		expire(now, outbox);
	}

	/**
	 * Notes that an append ended.
	 * @param now the router's clock reading in milliseconds
	 * @param append the number of the append
	 * @param result how it ended
	 * @param outbox takes the effects
	 */
	public void appendEnded(long now, long append, Result result, Outbox outbox) {
		for (ClaimRecord claim : this.writer.ended(now, append, result)) {
			Attempt attempt = this.attempts.find(claim).orElse(null);
			if (attempt != null && attempt.phase() == Phase.APPENDED && attempt.claim().equals(claim)) {
				attempt.phase(Phase.QUEUED);
				this.writer.add(claim);
			}
		}
		append(now, outbox);
	}

	/**
	 * Takes a message of another router about a claim. Other messages are ignored.
	 * @param now the router's clock reading in milliseconds
	 * @param from the process that sent the message
	 * @param message the message
	 * @param outbox takes the effects
	 */
	public void received(long now, Incarnation from, PeerMessage message, Outbox outbox) {
		incarnationSeen(now, from, outbox);
		if (message instanceof PeerMessage.ClaimQuery query) {
			outbox.add(new Effect.ToPeer(from.vm(), status(query.claimId())));
		}
		else if (message instanceof PeerMessage.ClaimStatus status) {
			status.record()
				.stream()
				.filter((record) -> record.holder().equals(from))
				.forEach((record) -> concludeAll(record, outbox));
		}
		else if (message instanceof PeerMessage.ClaimHandOver handed) {
			relay(now, from, handed.statements(), outbox);
		}
		else if (message instanceof PeerMessage.ClaimsDeclined declined) {
			this.handOver.declined(now, from.vm(), declined.claimIds()).forEach(this.writer::add);
		}
		append(now, outbox);
	}

	private void relay(long now, Incarnation from, List<ClaimRecord> statements, Outbox outbox) {
		boolean taken = !this.stopping && this.progress.reachable() && this.writer.relay(now, statements);
		if (!taken) {
			List<String> claimIds = statements.stream().map(ClaimRecord::claimId).distinct().toList();
			outbox.add(new Effect.ToPeer(from.vm(), new PeerMessage.ClaimsDeclined(claimIds)));
		}
	}

	private PeerMessage.ClaimStatus status(String claimId) {
		Optional<Attempt> attempt = this.attempts.claim(claimId);
		boolean running = attempt.filter((own) -> own.end().isEmpty()).isPresent();
		return new PeerMessage.ClaimStatus(claimId, running, attempt.flatMap(Claims::end).stream().toList());
	}

	private void concludeAll(ClaimRecord end, Outbox outbox) {
		this.waiters.key(end.claimId())
			.ifPresent((key) -> this.waiters.removeAll(key)
				.forEach((repeat) -> this.answers.conclude(repeat, end, outbox)));
	}

	/**
	 * Notes that a process was heard of, so that earlier ones on its VM have ended.
	 * @param now the router's clock reading in milliseconds
	 * @param process the process
	 * @param outbox takes the effects
	 */
	public void incarnationSeen(long now, Incarnation process, Outbox outbox) {
		boolean news = this.holders.heard(process);
		if (news) {
			this.handOver.lost(now, process.vm()).forEach(this.writer::add);
		}
		this.handOver.heard(process.vm());
		if (news) {
			concludeEnded(outbox);
			append(now, outbox);
		}
	}

	/**
	 * Notes that a VM left the list, so that the processes on it have ended.
	 * @param now the router's clock reading in milliseconds
	 * @param vm the VM
	 * @param outbox takes the effects
	 */
	public void vmLeft(long now, VmId vm, Outbox outbox) {
		this.holders.left(vm);
		this.handOver.lost(now, vm).forEach(this.writer::add);
		concludeEnded(outbox);
		append(now, outbox);
	}

	private void concludeEnded(Outbox outbox) {
		this.waiters.claims()
			.stream()
			.filter((claim) -> this.holders.ended(claim.holder()))
			.forEach((claim) -> concludeAll(declareUnknown(claim, outbox), outbox));
	}

	/**
	 * Does what time demands: starts an append, answers what waited for too long or whose
	 * deadline passed before its claim held, asks holders, and restates what the log is
	 * about to remove.
	 * @param now the router's clock reading in milliseconds
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param outbox takes the effects
	 */
	public void tick(long now, long epochMillis, Outbox outbox) {
		this.wallClock.observe(now, epochMillis);
		this.progress.judge(now);
		overdue(now, outbox);
		expire(now, outbox);
		this.handOver.overdue(now).forEach(this.writer::add);
		concludeEnded(outbox);
		this.waiters.removeOlder(now - this.settings.joinMillis())
			.forEach((repeat) -> this.answers.refuse(repeat.id(), RefusalReason.KEY_IN_USE, Outcome.UNKNOWN, outbox));
		ask(now, outbox);
		if (this.progress.caughtUp(now)) {
			this.restatement.run(this.wallClock.at(now));
		}
		append(now, outbox);
	}

	private void overdue(long now, Outbox outbox) {
		this.waiters.removeOverdue(now)
			.forEach((repeat) -> this.answers.refuseForGood(repeat.id(), RefusalReason.DEADLINE, Outcome.UNKNOWN,
					outbox));
		this.attempts.overdue(now).forEach((request) -> abandoned(now, request.id(), outbox));
	}

	private void expire(long now, Outbox outbox) {
		for (Attempt attempt : this.attempts.impatient(now - this.settings.patienceMillis())) {
			this.answers.refuse(attempt.request().id(), RefusalReason.LOG_UNAVAILABLE, Outcome.NOT_RUN, outbox);
			this.waiters.removeAll(attempt.key())
				.forEach((repeat) -> this.answers.refuse(repeat.id(), RefusalReason.LOG_UNAVAILABLE, Outcome.NOT_RUN,
						outbox));
			withdraw(now, attempt, outbox);
		}
	}

	private void ask(long now, Outbox outbox) {
		this.waiters.due(now, this.settings.queryMillis())
			.stream()
			.filter((claim) -> !claim.holder().equals(this.self))
			.forEach((claim) -> outbox
				.add(new Effect.ToPeer(claim.holder().vm(), new PeerMessage.ClaimQuery(claim.claimId()))));
	}

	/**
	 * Notes that the event loop stood still. Claims under which nothing was sent must be
	 * confirmed by the log before they hold again.
	 * @param now the router's clock reading in milliseconds
	 * @param outbox takes the effects
	 */
	public void resumed(long now, Outbox outbox) {
		expire(now, outbox);
		this.writer.forgetRelayed();
		this.handOver.recall().forEach(this.writer::add);
		for (Attempt attempt : this.attempts.all()) {
			if (attempt.phase() == Phase.QUEUED || attempt.phase() == Phase.APPENDED) {
				attempt.expire();
			}
			else if (attempt.phase() == Phase.HELD) {
				this.listener.suspended(now, attempt.request(), outbox);
				confirm(now, attempt);
			}
		}
	}

	/**
	 * Returns whether the whole window was read.
	 * @return {@code true} if requests that may not be repeated can be taken
	 */
	public boolean complete() {
		return this.progress.complete();
	}

	/**
	 * Returns what the log says.
	 * @return the table, which must not be changed
	 */
	public ClaimTable table() {
		return this.table;
	}

	/**
	 * Returns the number of claims that wait for the log.
	 * @return the number
	 */
	public int pending() {
		return this.attempts.pending();
	}

	/**
	 * Returns the number of claims that the log does not show to be over.
	 * @return the number
	 */
	public int attempts() {
		return this.attempts.size();
	}

	/**
	 * Returns the number of repeats that wait for a running request.
	 * @return the number
	 */
	public int waiting() {
		return this.waiters.size();
	}

	/**
	 * Returns the number of appends that were started.
	 * @return the number
	 */
	public long appends() {
		return this.writer.appends();
	}

	/**
	 * Returns the number of statements that were handed to appends.
	 * @return the number
	 */
	public long statements() {
		return this.writer.written();
	}

	/**
	 * Returns the number of statements that wait to be appended, by this process or for
	 * it.
	 * @return the number
	 */
	public int backlog() {
		return this.fresh.size() + this.writer.backlog() + this.handOver.size();
	}

}
