/**
 * Excludes instances from reads that are much slower than their peers.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

/** Weight of a new sample in the exponential moving average. */
const LATENCY_WEIGHT = 0.1;
/** Samples needed before an instance is compared with its peers. */
const MIN_SAMPLE_COUNT = 20;
/** An instance is slow when its average exceeds the median of its peers by both this factor and this margin. */
const SLOW_FACTOR = 4;
const SLOW_MARGIN_MS = 100;
/** Duration of the first exclusion; doubled each time the instance is found slow again, up to the maximum. */
const EXCLUSION_MS = 2_000;
const MAX_EXCLUSION_MS = 30_000;
/** Time since the last exclusion began after which the duration starts from its minimum again. */
const BACKOFF_RESET_MS = 60_000;

interface LatencyState {
  smoothed: number;
  samples: number;
  excludedUntil: number;
  exclusions: number;
  lastExclusion: number;
}

/** Detects slow instances of one group by the latencies of their statements. */
export class SlowInstances {
  readonly #latencies = new Map<string, LatencyState>();

  /** Whether an instance is currently excluded. */
  isSlow(instance: string): boolean {
    return (this.#latencies.get(instance)?.excludedUntil ?? 0) > 0;
  }

  /** Records a latency in ms; `peers` are the instances to compare with. Returns whether this excludes the instance. */
  report(
    instance: string,
    latency: number,
    peers: readonly string[],
  ): boolean {
    const now = clock.now();
    const entry = this.#ensure(instance);
    if (entry.excludedUntil > 0) return false;
    entry.samples += 1;
    const weight = Math.max(LATENCY_WEIGHT, 1 / entry.samples);
    entry.smoothed += weight * (latency - entry.smoothed);
    if (entry.samples < MIN_SAMPLE_COUNT || peers.length === 0) return false;
    const median = this.#median(peers);
    if (median === undefined) return false;
    const limit = Math.max(SLOW_FACTOR * median, median + SLOW_MARGIN_MS);
    if (entry.smoothed <= limit) return false;
    this.#exclude(entry, now);
    return true;
  }

  /** Ends expired exclusions, so that the instances are tried again with new samples; returns these instances. */
  endExpiredExclusions(): readonly string[] {
    const now = clock.now();
    const ended: string[] = [];
    for (const [instance, entry] of this.#latencies) {
      if (entry.excludedUntil === 0 || entry.excludedUntil > now) continue;
      entry.excludedUntil = 0;
      entry.samples = 0;
      entry.smoothed = 0;
      ended.push(instance);
    }
    return ended;
  }

  #exclude(entry: LatencyState, now: number): void {
    if (now - entry.lastExclusion > BACKOFF_RESET_MS) entry.exclusions = 0;
    const exclusionMs = EXCLUSION_MS * 2 ** entry.exclusions;
    entry.exclusions += 1;
    entry.lastExclusion = now;
    entry.excludedUntil = now + Math.min(exclusionMs, MAX_EXCLUSION_MS);
  }

  #median(instances: readonly string[]): number | undefined {
    const values = instances.map((name) => this.#latencies.get(name))
      .filter((entry) => entry !== undefined)
      .filter((entry) => entry.samples >= MIN_SAMPLE_COUNT)
      .map((entry) => entry.smoothed)
      .sort((a, b) => a - b);
    return values[(values.length - 1) >>> 1];
  }

  #ensure(instance: string): LatencyState {
    const found = this.#latencies.get(instance);
    if (found) return found;
    const entry = {
      smoothed: 0,
      samples: 0,
      excludedUntil: 0,
      exclusions: 0,
      lastExclusion: -Infinity,
    };
    this.#latencies.set(instance, entry);
    return entry;
  }
}
