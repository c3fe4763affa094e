package org.ebonyford.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.ebonyford.claim.ClaimFleet.Node;
import org.ebonyford.event.Event.AppendEnded.Result;
import org.ebonyford.request.Ending;
import org.ebonyford.request.Request;

/**
 * Tests {@link Claims} with every fault between every two steps from the claim to the
 * answer.
 */
public class ClaimStepsTest {

	private static final int WRITER = 3;

	@DataProvider
	public Iterator<Object[]> faults() {
		List<Object[]> faults = new ArrayList<>();
		for (int step = 0; step <= Step.values().length; step++) {
			for (Fault fault : Fault.values()) {
				for (int lot = 0; lot < 16; lot++) {
					faults.add(new Object[] { step, fault, (lot & 1) != 0, (lot & 2) != 0, (lot & 4) != 0,
							(lot & 8) != 0 });
				}
			}
		}
		return faults.iterator();
	}

	@Test(dataProvider = "faults")
	public void testKeyRunsAtMostOnceWithAFaultAfterEachStep(int steps, Fault fault, boolean landed, boolean ran,
			boolean repeatFirst, boolean handedOver) {
		ClaimFleet fleet = new ClaimFleet(WRITER + 1);
		if (handedOver) {
			fleet.writers(List.of(fleet.nodes.get(WRITER).vm));
		}
		fleet.heal(2);
		Node holder = fleet.nodes.get(0);
		Request first = holder.begin("k", "f");
		for (int step = 0; step < steps; step++) {
			Step.values()[step].take(fleet, holder, first);
		}
		repeat(fleet, repeatFirst);
		fault.strike(fleet, holder, first, landed, ran);
		repeat(fleet, !repeatFirst);
		for (int step = steps; step < Step.values().length; step++) {
			Step.values()[step].take(fleet, holder, first);
		}
		for (int round = 0; round < 30; round++) {
			fleet.heal(1);
			fleet.nodes.forEach(ClaimStepsTest::runReady);
		}
		fleet.nodes.get(2).begin("k", "f");
		ClaimsTest.settle(fleet);
	}

	private static void repeat(ClaimFleet fleet, boolean due) {
		if (due) {
			fleet.nodes.get(1).begin("k", "f");
		}
	}

	private static void runReady(Node node) {
		List.copyOf(node.ready.keySet()).forEach(node::send);
		List.copyOf(node.running.keySet()).forEach((id) -> node.end(id, Ending.COMPLETED, true));
	}

	/** The steps of a request that nothing disturbs. */
	private enum Step {

		DELIVER_CLAIM {
			@Override
			void take(ClaimFleet fleet, Node holder, Request request) {
				fleet.deliverAll();
			}
		},

		LAND_CLAIM {
			@Override
			void take(ClaimFleet fleet, Node holder, Request request) {
				fleet.landAll(Result.APPENDED, true);
			}
		},

		READ_CLAIM {
			@Override
			void take(ClaimFleet fleet, Node holder, Request request) {
				holder.read(100);
			}
		},

		SEND {
			@Override
			void take(ClaimFleet fleet, Node holder, Request request) {
				Optional.ofNullable(holder.ready.get(request.id())).ifPresent((ready) -> holder.send(ready.id()));
			}
		},

		END {
			@Override
			void take(ClaimFleet fleet, Node holder, Request request) {
				Optional.ofNullable(holder.running.get(request.id()))
					.ifPresent((running) -> holder.end(running.id(), Ending.COMPLETED, true));
				fleet.pass(60);
			}
		},

		DELIVER_END {
			@Override
			void take(ClaimFleet fleet, Node holder, Request request) {
				fleet.deliverAll();
				fleet.pass(60);
			}
		},

		LAND_END {
			@Override
			void take(ClaimFleet fleet, Node holder, Request request) {
				fleet.landAll(Result.APPENDED, true);
			}
		},

		READ_END {
			@Override
			void take(ClaimFleet fleet, Node holder, Request request) {
				holder.read(100);
			}
		};

		abstract void take(ClaimFleet fleet, Node holder, Request request);

	}

	/** What strikes between two steps. */
	private enum Fault {

		KILL {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				if (landed) {
					fleet.landAll(Result.APPENDED, true);
				}
				holder.restart(ran);
			}
		},

		KILL_AND_LEAVE_THE_LIST {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				KILL.strike(fleet, holder, request, landed, ran);
				fleet.nodes.get(1).left(holder.vm);
			}
		},

		LIST_LOSES_A_LIVING_VM {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				fleet.nodes.get(1).left(holder.vm);
			}
		},

		LOST_ANSWER {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				fleet.landAll(Result.UNKNOWN, landed);
			}
		},

		OUTAGE {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				fleet.log.reachable = false;
				holder.read(100);
				fleet.landAll(landed ? Result.UNKNOWN : Result.FAILED, landed);
				fleet.pass(ClaimFleet.SETTINGS.patienceMillis());
				fleet.log.reachable = true;
			}
		},

		CALLER_LEAVES {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				holder.abandon(request.id());
			}
		},

		PAUSE {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				holder.pause();
				fleet.nodes.get(1).left(holder.vm);
				fleet.pass(landed ? 5_000 : 100);
				holder.resume();
			}
		},

		WRITER_KILLED {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				if (landed) {
					fleet.landAll(Result.APPENDED, true);
				}
				fleet.nodes.get(WRITER).restart(false);
				fleet.pass(ran ? ClaimFleet.SETTINGS.patienceMillis() : ClaimFleet.SETTINGS.handOverMillis());
			}
		},

		WRITER_PAUSED_AND_LATE {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				fleet.nodes.get(WRITER).pause();
				fleet.pass(ran ? ClaimFleet.SETTINGS.patienceMillis() : ClaimFleet.SETTINGS.handOverMillis());
				fleet.landFrom(holder);
				holder.read(100);
				if (landed) {
					fleet.nodes.get(WRITER).resume();
					fleet.pass(60);
				}
			}
		},

		MESSAGES_LOST {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				fleet.loseMessages();
				fleet.pass(landed ? ClaimFleet.SETTINGS.handOverMillis() : 1);
			}
		},

		WRITER_STOPS {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				fleet.nodes.get(WRITER).stop();
				if (landed) {
					fleet.deliverAll();
				}
			}
		},

		WRITER_FALLS_SILENT {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				holder.lost(fleet.nodes.get(WRITER).vm);
				if (landed) {
					fleet.nodes.get(1).left(fleet.nodes.get(WRITER).vm);
				}
			}
		},

		ROUTERS_DISAGREE_ON_THE_WRITER {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				holder.writers(List.of(fleet.nodes.get(landed ? 1 : 2).vm));
				fleet.nodes.get(WRITER).writers(List.of(holder.vm));
			}
		},

		HOLDER_PAUSED_WITH_A_COPY_AT_THE_WRITER {
			@Override
			void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran) {
				holder.pause();
				fleet.nodes.get(1).left(holder.vm);
				fleet.deliverAll();
				fleet.landFrom(fleet.nodes.get(WRITER));
				fleet.pass(landed ? 5_000 : 100);
				fleet.nodes.get(1).read(100);
				fleet.pass(60);
				fleet.landAll(Result.APPENDED, true);
				holder.resume();
			}
		};

		abstract void strike(ClaimFleet fleet, Node holder, Request request, boolean landed, boolean ran);

	}

}
