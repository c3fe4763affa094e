package org.ebonyford.emulator.upstream;

/**
 * What an upstream reports of itself.
 *
 * @param incarnation a number that changes when the upstream starts anew
 * @param running the requests that ran at the sample time
 * @param completed the requests that completed since the start
 * @param ageMillis the milliseconds since the sample was taken
 * @param leaving whether the upstream is about to leave
 */
record LoadSample(long incarnation, int running, long completed, long ageMillis, boolean leaving) {

	/**
	 * Returns a copy with another age.
	 * @param millis the milliseconds since the sample was taken
	 * @return the copy
	 */
	LoadSample aged(long millis) {
		return new LoadSample(this.incarnation, this.running, this.completed, millis, this.leaving);
	}

}
