/**
 * Data ages and expected wait times of the instances of one group.
 *
 * @module
 */
import type { Position } from "../upstream/position.ts";
import { ApplyLag } from "./apply_lag.ts";
import type { InstanceProbe } from "./instance_probe.ts";
import type { ConfirmedPrimary } from "./quorum.ts";
import { SampleHistory } from "./sample_history.ts";

/** Tracks position samples of the primary and the apply lag of each instance. */
export class Staleness {
  readonly samples = new SampleHistory();
  readonly #lags = new Map<string, ApplyLag>();

  /** Adds the position of the confirmed primary as a sample. */
  addSample(primary: ConfirmedPrimary): void {
    const { term, status, confirmedAt } = primary;
    const position = { term, lsn: status.received };
    this.samples.add({ at: confirmedAt, position });
  }

  /** Updates the lag of an instance from its new status. */
  observe(probe: InstanceProbe): void {
    const { name } = probe.instance;
    const lag = this.#lags.get(name) ?? new ApplyLag(this.samples);
    this.#lags.set(name, lag);
    lag.observe(probe);
  }

  /** Discards the lag of an instance. */
  forget(instance: string): void {
    this.#lags.delete(instance);
  }

  /** Monotonic ms of the newest sample that an instance has applied; -Infinity when unknown. Its data is no older than that. */
  observedAt(instance: string): number {
    return this.#lags.get(instance)?.observedAt ?? -Infinity;
  }

  /** Expected time in ms until an instance applies a position that it has not applied yet; Infinity when unknown. */
  expectedWait(instance: string, position: Position, now: number): number {
    return this.#lags.get(instance)?.expectedWait(position, now) ?? Infinity;
  }
}
