/**
 * The smoothed demand for connections to one instance: the time-weighted mean of
 * the load. Peaks are ignored on purpose: connections held for the peaks of one
 * proxy are idle between them while other proxies wait, and queued statements
 * raise the mean anyway.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

/** Interval between two samples, in ms. */
export const DEMAND_SAMPLE_MS = 250;

const RISE_FACTOR = 0.5;
const FALL_FACTOR = 0.2;

/** A smoothed demand below this is treated as zero. */
const NEGLIGIBLE_DEMAND = 0.1;

/** A change of the demand is published only if it reaches both this fraction of the published value and the least number of connections. */
const MIN_CHANGE_FRACTION = 0.2;
const MIN_CHANGE_CONNECTIONS = 2;

/** Measures the demand for one instance. */
export class DemandMeter {
  #load = 0;
  #since = clock.now();
  #sampledAt = this.#since;
  /** Integral of the load over time since the last sample. */
  #loadIntegral = 0;
  #smoothed = 0;
  #published = 0;

  /** Records the current load: connections in use plus queued statements. */
  recordLoad(load: number, now = clock.now()): void {
    this.#loadIntegral += this.#load * (now - this.#since);
    this.#since = now;
    this.#load = load;
  }

  /** Ends a sample interval and updates the smoothed demand. */
  sample(now = clock.now()): void {
    this.recordLoad(this.#load, now);
    const elapsed = now - this.#sampledAt;
    if (elapsed <= 0) return;
    const mean = this.#loadIntegral / elapsed;
    const factor = mean > this.#smoothed ? RISE_FACTOR : FALL_FACTOR;
    this.#smoothed += (mean - this.#smoothed) * factor;
    if (this.#smoothed < NEGLIGIBLE_DEMAND) this.#smoothed = 0;
    this.#loadIntegral = 0;
    this.#sampledAt = now;
  }

  /** The smoothed demand, rounded up to whole connections. */
  get wanted(): number {
    return Math.ceil(this.#smoothed);
  }

  /** The demand that was last published. */
  get published(): number {
    return this.#published;
  }

  /** Whether the demand differs enough from the published one to be published again. */
  get hasChanged(): boolean {
    const wanted = this.wanted;
    if (wanted === this.#published) return false;
    if (wanted === 0 || this.#published === 0) return true;
    const change = Math.abs(wanted - this.#published);
    const threshold = Math.max(
      MIN_CHANGE_CONNECTIONS,
      this.#published * MIN_CHANGE_FRACTION,
    );
    return change >= threshold;
  }

  /** Marks the current demand as published. */
  publish(): void {
    this.#published = this.wanted;
  }
}
