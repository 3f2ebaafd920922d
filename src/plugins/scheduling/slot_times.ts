/**
 * The slot time that statements take at one instance, by rank.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

/** Weight of one measurement in the mean of a rank; the first measurements weigh more. Twenty statements show a changed instance. */
const WEIGHT = 0.05;

/** Slot time that is assumed before the first measurement, in ms: within a factor of four of the work on both sites. */
const INITIAL_SLOT_TIME_MS = 20;

/** Time constant of the measured use of slots, in ms; long enough to average over bursts. */
const USE_TIME_CONSTANT_MS = 1_000;

interface RankTimes {
  mean: number;
  count: number;
  /** Slot time that was used lately, with weights that decay with its age, in ms. */
  used: number;
  /** Monotonic ms up to which `used` has decayed. */
  at: number;
}

/** Slot times of one instance. */
export class SlotTimes {
  readonly #byRank = new Map<number, RankTimes>();

  /** Records the slot time of a statement, in ms. */
  record(rank: number, slotTime: number, now = clock.now()): void {
    const times = this.#times(rank, now);
    times.count += 1;
    const weight = Math.max(WEIGHT, 1 / times.count);
    times.mean += (slotTime - times.mean) * weight;
    times.used = decayedUse(times, now) + slotTime;
    times.at = now;
  }

  /** Mean slot time of a statement of a rank, in ms; that of all ranks if the rank has none. */
  of(rank: number): number {
    const times = this.#byRank.get(rank);
    return times && times.count > 0 ? times.mean : this.mean;
  }

  /** Mean over the ranks, in ms. */
  get mean(): number {
    let sum = 0;
    for (const { mean } of this.#byRank.values()) sum += mean;
    return this.#byRank.size > 0
      ? sum / this.#byRank.size
      : INITIAL_SLOT_TIME_MS;
  }

  /** Slots that the ranks before a rank have used lately, on average. */
  slotsUsedBefore(rank: number, now = clock.now()): number {
    let used = 0;
    for (const [other, times] of this.#byRank) {
      if (other < rank) used += decayedUse(times, now);
    }
    return used / USE_TIME_CONSTANT_MS;
  }

  #times(rank: number, now: number): RankTimes {
    const known = this.#byRank.get(rank);
    if (known) return known;
    const times = { mean: 0, count: 0, used: 0, at: now };
    this.#byRank.set(rank, times);
    return times;
  }
}

function decayedUse({ used, at }: RankTimes, now: number): number {
  return used * Math.exp((at - now) / USE_TIME_CONSTANT_MS);
}
