package org.ebonyford.router.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import org.testng.annotations.Test;

import org.ebonyford.control.ControlRecord;
import org.ebonyford.identity.VmId;
import org.ebonyford.router.log.FakeLogClient;
import org.ebonyford.router.log.LogSlice;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;

/**
 * Tests {@link ControlPublisher} with operators who race each other on a log that loses
 * answers and records and takes records late.
 */
public class ControlPublisherPropertyTest {

	private static final int RUNS = 500;

	@Test
	public void testOperatorsAreToldTheTruth() {
		qt().withExamples(RUNS).forAll(longs().all()).check((seed) -> new Race(new Random(seed)).truthful());
	}

	/**
	 * Operators who change the state at the same time.
	 */
	private static final class Race {

		private static final int CHANGES = 12;

		private static final int DEPTH = 2;

		private final Random random;

		private final FakeLogClient log = new FakeLogClient();

		private final Map<String, List<String>> names = new HashMap<>();

		private final Map<String, ControlOutcome> outcomes = new HashMap<>();

		private int operators;

		private int depth;

		Race(Random random) {
			this.random = random;
			this.log.race(this::disturb);
		}

		boolean truthful() {
			for (int change = 0; change < CHANGES; change++) {
				operate();
			}
			this.log.takeLate();
			Set<String> accepted = accepted();
			return this.outcomes.entrySet().stream().allMatch((entry) -> truthful(entry, accepted));
		}

		private boolean truthful(Map.Entry<String, ControlOutcome> told, Set<String> accepted) {
			List<String> own = this.names.get(told.getKey());
			boolean inForce = own.stream().anyMatch(accepted::contains);
			if (told.getValue() instanceof ControlOutcome.Accepted answer) {
				return accepted.contains(answer.record().id()) && own.contains(answer.record().id());
			}
			if (told.getValue() instanceof ControlOutcome.Unreachable answer) {
				return answer.effectPossible() || !inForce;
			}
			return !inForce;
		}

		private void operate() {
			String operator = "operator" + this.operators++;
			List<String> own = new ArrayList<>();
			this.names.put(operator, own);
			ControlPublisher publisher = new ControlPublisher(this.log, Duration.ofSeconds(1), operator, () -> {
				own.add(operator + "/" + own.size());
				return own.get(own.size() - 1);
			}, this::maybeTakeLate);
			this.outcomes.put(operator, change(publisher));
		}

		private ControlOutcome change(ControlPublisher publisher) {
			ControlChange publication = new ControlChange.ForPublication(
					"[plan gold]\nweight = " + (1 + this.random.nextInt(9)) + "\nmax-queued = 1\n",
					"[pool p]\nkind = service\nwarm-limit = 1\ncold-limit = 1\n");
			return switch (this.random.nextInt(3)) {
				case 0 -> publisher.propose(publication, OptionalLong.empty());
				case 1 -> publisher.insist(publication);
				default -> publisher.insist(
						new ControlChange.ForVm(new VmId("vm" + this.random.nextInt(3)), this.random.nextBoolean()));
			};
		}

		private void disturb() {
			this.log.befall(FakeLogClient.Fate.values()[this.random.nextInt(FakeLogClient.Fate.values().length)]);
			maybeTakeLate();
			if (this.depth < DEPTH && this.random.nextInt(3) == 0) {
				this.depth++;
				operate();
				this.depth--;
			}
		}

		private void maybeTakeLate() {
			if (this.random.nextInt(3) == 0) {
				this.log.takeLate();
			}
		}

		/**
		 * Reads the whole log in the naive way.
		 */
		private Set<String> accepted() {
			Set<String> accepted = new HashSet<>();
			long version = -1;
			ControlRecordCodec codec = new ControlRecordCodec();
			for (LogSlice.LogRecord kept : this.log.read("control", 0, Integer.MAX_VALUE, 0).join().records()) {
				Optional<ControlRecord> record = codec.decode(kept);
				if (record.isPresent() && record.get().basedOn() == version) {
					version = record.get().offset();
					accepted.add(record.get().id());
				}
			}
			return accepted;
		}

	}

}
