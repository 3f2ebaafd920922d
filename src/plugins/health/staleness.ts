/**
 * Ages and expected waits of the instances of one group.
 *
 * @module
 */
import type { Position } from "../upstream/position.ts";
import { ApplyLag } from "./apply_lag.ts";
import type { InstanceProbe } from "./instance_probe.ts";
import type { ConfirmedPrimary } from "./quorum.ts";
import { SampleHistory } from "./sample_history.ts";

/** Keeps the samples of the primary and the lag of each instance. */
export class Staleness {
  readonly samples = new SampleHistory();
  readonly #lags = new Map<string, ApplyLag>();

  /** Takes a position of the confirmed primary. */
  addSample(primary: ConfirmedPrimary): void {
    const { term, status, confirmedAt } = primary;
    const position = { term, lsn: status.received };
    this.samples.add({ at: confirmedAt, position });
  }

  /** Takes a new status of an instance. */
  observe(probe: InstanceProbe): void {
    const { name } = probe.instance;
    const lag = this.#lags.get(name) ?? new ApplyLag(this.samples);
    this.#lags.set(name, lag);
    lag.observe(probe);
  }

  /** Forgets an instance. */
  forget(instance: string): void {
    this.#lags.delete(instance);
  }

  /** Upper bound in ms of the age of an instance's data. */
  age(instance: string, now: number): number {
    return this.#lags.get(instance)?.age(now) ?? Infinity;
  }

  /** Expected ms until an instance has applied a position that it has not yet. */
  expectedWait(instance: string, position: Position, now: number): number {
    return this.#lags.get(instance)?.expectedWait(position, now) ?? Infinity;
  }
}
