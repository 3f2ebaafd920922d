/**
 * How far an instance's data is behind, and how long it takes to apply the log.
 *
 * @module
 */
import type { Position } from "../upstream/position.ts";
import type { InstanceProbe } from "./instance_probe.ts";
import type { Sample, SampleHistory } from "./sample_history.ts";

/** Weight of a new measurement in the smoothed lag. */
const LAG_WEIGHT = 0.2;

/** Follows one instance through the samples of its group's primary. */
export class ApplyLag {
  readonly #samples: SampleHistory;
  #applied: Sample | undefined;
  #lag: number | undefined;

  constructor(samples: SampleHistory) {
    this.#samples = samples;
  }

  /** Takes a new status of the instance. */
  observe(probe: InstanceProbe): void {
    const { status } = probe;
    if (!status) return;
    const newest = this.#samples.newestContained(status, status.applied);
    if (!newest) {
      this.#applied = undefined;
      return;
    }
    if (newest === this.#applied) return;
    this.#measure(probe, newest);
    this.#applied = newest;
  }

  /** Upper bound in ms of the age of the instance's data. */
  age(now: number): number {
    return this.#applied ? now - this.#applied.at : Infinity;
  }

  /** Expected ms until the instance has applied a position that it has not yet. */
  expectedWait(position: Position, now: number): number {
    const missing = this.#samples.next(this.#applied);
    const stalled = missing ? now - missing.at : 0;
    const lag = Math.max(this.#lag ?? 0, stalled);
    if (!this.#applied) return Infinity;
    const written = this.#samples.firstCovering(position)?.at ?? now;
    return Math.max(0, written + lag - now);
  }

  /** The sample was applied after the status before last came and before this one did. */
  #measure(probe: InstanceProbe, newest: Sample): void {
    const { position, at } = newest;
    const before = this.#applied?.position;
    if (
      before && before.term === position.term && before.lsn === position.lsn
    ) {
      return;
    }
    const upper = Math.max(0, probe.answeredAt - at);
    const lower = Math.max(0, probe.answeredBefore - at);
    const present = this.#lag ?? upper;
    const measured = Math.min(upper, Math.max(lower, present));
    this.#lag = present + LAG_WEIGHT * (measured - present);
  }
}
