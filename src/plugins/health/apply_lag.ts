/**
 * Estimates how old an instance's data is and how long the instance takes to apply the log.
 *
 * @module
 */
import type { Position } from "../upstream/position.ts";
import type { InstanceProbe } from "./instance_probe.ts";
import type { Sample, SampleHistory } from "./sample_history.ts";

/** Weight of a new measurement in the exponential moving average of the lag. */
const LAG_WEIGHT = 0.2;

/** Tracks the apply lag of one instance against position samples of the primary. */
export class ApplyLag {
  readonly #samples: SampleHistory;
  #newestApplied: Sample | undefined;
  #lag: number | undefined;

  constructor(samples: SampleHistory) {
    this.#samples = samples;
  }

  /** Updates the lag from a new status of the instance. */
  observe(probe: InstanceProbe): void {
    const { status } = probe;
    if (!status) return;
    const newest = this.#samples.newestContained(status, status.applied);
    if (!newest) {
      this.#newestApplied = undefined;
      return;
    }
    if (newest === this.#newestApplied) return;
    this.#updateLag(probe, newest);
    this.#newestApplied = newest;
  }

  /** Monotonic ms of the newest sample that the instance has applied; -Infinity when unknown. */
  get observedAt(): number {
    return this.#newestApplied?.at ?? -Infinity;
  }

  /** Expected time in ms until the instance applies a position that it has not applied yet; Infinity when unknown. */
  expectedWait(position: Position, now: number): number {
    const firstUnapplied = this.#samples.firstAfter(this.#newestApplied);
    const stalled = firstUnapplied ? now - firstUnapplied.at : 0;
    const lag = Math.max(this.#lag ?? 0, stalled);
    if (!this.#newestApplied) return Infinity;
    const written = this.#samples.firstCovering(position)?.at ?? now;
    return Math.max(0, written + lag - now);
  }

  /** Updates the average lag. The sample was applied between the arrivals of the previous and the new status, which bound the lag. */
  #updateLag(probe: InstanceProbe, newest: Sample): void {
    const { position, at } = newest;
    const previous = this.#newestApplied?.position;
    if (
      previous && previous.term === position.term &&
      previous.lsn === position.lsn
    ) {
      return;
    }
    const upper = Math.max(0, probe.answeredAt - at);
    const lower = Math.max(0, probe.previousAnsweredAt - at);
    const current = this.#lag ?? upper;
    const measured = Math.min(upper, Math.max(lower, current));
    this.#lag = current + LAG_WEIGHT * (measured - current);
  }
}
