package org.ebonyford.benchmark.engine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import org.ebonyford.placement.AdmissionControl;
import org.ebonyford.placement.Choice;
import org.ebonyford.placement.Placement;
import org.ebonyford.placement.PlacementTerms;
import org.ebonyford.placement.ServicePace;
import org.ebonyford.placement.UpstreamState;
import org.ebonyford.placement.Work;

/**
 * Decides where a request goes and whether it is taken.
 */
public interface Policy {

	/**
	 * The time in milliseconds for which engines transfer the memory of a token: some 18
	 * KB over a link of 130 Gbit/s.
	 */
	double TRANSFER_MILLIS = 0.0011;

	/**
	 * Chooses an engine.
	 * @param scene what is known
	 * @return the engine, or empty if there is none with room
	 */
	Optional<Choice> choose(Scene scene);

	/**
	 * Returns whether a request is taken.
	 * @param choice the engine chosen for it
	 * @param terms the terms of the request
	 * @return {@code true} if it is sent
	 */
	boolean takes(Choice choice, PlacementTerms terms);

	/**
	 * What is known when a request is placed.
	 *
	 * @param pace how fast the engines are believed to work
	 * @param work the work of the request
	 * @param candidates the engines as the router knows them
	 * @param terms the terms of the request
	 * @param now the time in milliseconds
	 * @param truth when an engine would really begin the answer, in milliseconds from now
	 */
	record Scene(ServicePace pace, Work work, Collection<UpstreamState> candidates, PlacementTerms terms, long now,
			ToDoubleFunction<UpstreamState> truth) {
	}

	/**
	 * The product's decisions where engines do not transfer memory.
	 */
	enum ForProductWithoutTransfer implements Policy {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public Optional<Choice> choose(Scene scene) {
			return new Placement.ForEngines("dc", scene.pace(), () -> false).choose(scene.work(), scene.candidates(),
					scene.terms(), scene.now());
		}

		@Override
		public boolean takes(Choice choice, PlacementTerms terms) {
			return AdmissionControl.admits(choice, terms);
		}

	}

	/**
	 * The product's decisions.
	 */
	enum ForProduct implements Policy {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public Optional<Choice> choose(Scene scene) {
			return new Placement.ForEngines("dc", scene.pace(), () -> true).choose(scene.work(), scene.candidates(),
					scene.terms(), scene.now());
		}

		@Override
		public boolean takes(Choice choice, PlacementTerms terms) {
			return AdmissionControl.admits(choice, terms);
		}

	}

	/**
	 * The engine that is expected to begin first, wherever the prompt is kept; requests
	 * are refused as the product does.
	 */
	enum ForSoonest implements Policy {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public Optional<Choice> choose(Scene scene) {
			Work alone = Work.of(List.of(), scene.work().promptTokens(), scene.work().maxOutputTokens());
			return new Placement.ForEngines("dc", scene.pace(), () -> false).choose(alone, scene.candidates(),
					scene.terms(), scene.now());
		}

		@Override
		public boolean takes(Choice choice, PlacementTerms terms) {
			return AdmissionControl.admits(choice, terms);
		}

	}

	/**
	 * The engine with the fewest requests, and nothing is refused.
	 */
	enum ForFewestRequests implements Policy {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public Optional<Choice> choose(Scene scene) {
			return scene.candidates()
				.stream()
				.min(Comparator.comparingInt((UpstreamState state) -> state.totalLoad(scene.now()).running()))
				.map((state) -> new Choice(state, 0, 0, 0, scene.work().promptTokens(), 0, 0, false));
		}

		@Override
		public boolean takes(Choice choice, PlacementTerms terms) {
			return true;
		}

	}

	/**
	 * Knows when each engine would really begin the answer, and refuses what would be
	 * late.
	 */
	enum ForOracle implements Policy {

		/**
		 * The singleton instance.
		 */
		INSTANCE;

		@Override
		public Optional<Choice> choose(Scene scene) {
			return scene.candidates()
				.stream()
				.min(Comparator.comparingDouble(scene.truth()))
				.map((state) -> new Choice(state, scene.truth().applyAsDouble(state), Double.MAX_VALUE, 0, 0, 0, 0,
						false));
		}

		@Override
		public boolean takes(Choice choice, PlacementTerms terms) {
			return choice.firstByteMillis() <= terms.firstByteLimitMillis();
		}

	}

}
