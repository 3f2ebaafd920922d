/**
 * A random schedule of faults, the same for the same seed and length.
 *
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Kinds of faults. */
export const faultKinds = [
  "kill primary",
  "kill replica",
  "freeze primary",
  "freeze replica",
  "kill proxy",
  "freeze proxy",
  "stop proxy",
  "cut zone",
  "cut zone one way",
  "cut zone from platform",
  "cut primary from replicas",
  "platform down",
  "platform slow",
  "lose platform replies",
  "replica lag",
  "promote document",
  "race of operators",
  "plan change of primary",
] as const;
/** Kind of a fault. */
export type FaultKind = typeof faultKinds[number];

/** A fault at a time; `choice` picks its target. */
export interface PlannedFault {
  /** Ms since the start of the run. */
  readonly at: number;
  readonly kind: FaultKind;
  /** How long it lasts, in ms. */
  readonly duration: number;
  readonly choice: number;
}

const FIRST_FAULT_MS = 2_000;
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 4_000;
const MIN_DURATION_MS = 200;
const MAX_DURATION_MS = 5_000;
const MAX_CHOICE = 1_000_000;

/** Makes the schedule of a seed. */
export function createSchedule(
  seed: number,
  lengthMs: number,
): readonly PlannedFault[] {
  const random = xoroshiro128plus(seed);
  const between = (from: number, to: number): number =>
    uniformInt(random, from, to);
  const faults: PlannedFault[] = [];
  let at = FIRST_FAULT_MS;
  while (at < lengthMs) {
    faults.push({
      at,
      kind: faultKinds[between(0, faultKinds.length - 1)]!,
      duration: between(MIN_DURATION_MS, MAX_DURATION_MS),
      choice: between(0, MAX_CHOICE),
    });
    at += between(MIN_PAUSE_MS, MAX_PAUSE_MS);
  }
  return faults;
}
