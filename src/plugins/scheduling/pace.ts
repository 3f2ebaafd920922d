/**
 * Finds how many statements may be in flight at an instance from how it answers
 * (docs/design/pace.md has the ways that were weighed).
 *
 * @module
 */
import { FailureRate } from "./failure_rate.ts";
import type { Flight, FlightOutcome } from "./flight.ts";
import { LatencyBaseline } from "./latency_baseline.ts";
import { LatencyRatio } from "./latency_ratio.ts";
import type { PaceChange, PaceReason } from "./pace_change.ts";
import type { StatementLimit } from "./statement_limit.ts";

/** Pace at first where the instance reports no capacity: as in `ConcurrencyLimit`. */
const INITIAL_PACE = 2;

/** Largest reported capacity that is believed at first; a larger one is found within a second if it is right. */
const MAX_INITIAL_PACE = 8;

/** Least and greatest pace. The least suits one of 144 proxies at an instance that is ten times as slow. */
const MIN_PACE = 0.02;
const MAX_PACE = 1_000;

/** Longest pause between two statements, in ms, so that an instance always gets trial statements. */
const MAX_PAUSE_MS = 4_000;

/** Statements that are measured at the initial pace before it changes: a baseline that is taken while the instance fills up is too high. */
const INITIAL_COUNT = 16;

/** Growth for each answer until the first sign of crowding; an instance with six slots is full after some 20 answers. */
const INITIAL_GROWTH = 0.25;

/** Latency ratio up to which the pace grows fast, and above which it falls. At a ratio of 1.7 the instance is fully used, also if the baseline is wrong by a third. */
const GROWTH_RATIO = 1.4;
const CROWDED_RATIO = 1.7;

/** Growth between the two, as a difference of the ratio: without it chance alone would move the pace, also far below what the instance can work on. */
const CREEP_RATIO = 0.12;

/** Ratio below which the pace grows by at least the given part of itself per ms, however rarely a proxy measures. */
const IDLE_RATIO = 1.2;
const IDLE_GROWTH_PER_MS = 0.0006;

/** Statements after which a change of the pace shows in the ratio, and the part of the difference that is corrected in that time; more makes the pace swing. */
const LAG_COUNT = 16;
const CORRECTED_PART = 0.25;

/** Bounds of the relative change of the pace per ms and unit of the ratio. */
const MIN_GAIN_PER_MS = 0.00005;
const MAX_GAIN_PER_MS = 0.003;

/** Longest time, in ms, for which one answer changes the pace. */
const MAX_STEP_MS = 1_000;

/** Statements before the ratio raises the pace, and before it lowers it. */
const MIN_COUNT = 6;
const MIN_CROWDED_COUNT = 16;

/** Part of the pace at the start of a decline at which it is examined whether the decline has helped. */
const EXAMINED_PART = 0.6;

/** Logarithm of the odds at which that is decided, 20 to 1, and statements after which the likelier case is taken. */
const EVIDENCE = 3;
const MAX_EXAMINED_COUNT = 48;

/** Pace after a decline that has not helped, relative to the statements that the instance works on at once. */
const MARGIN = 1.3;

/** Factor by which a rejection lowers the pace. All proxies are rejected at the same time, so the instance's queue drains and shows how long statements take without it. */
const REJECTION_FACTOR = 0.35;

/** Least of the longest pauses after a rejection at a pace below 2, in ms; as in `ConcurrencyLimit`. */
const REJECTION_PAUSE_MS = 120;

/** How long a proxy counts as held back after a statement had to wait, in ms. What it measures then may be crowded by others. */
const HELD_BACK_MS = 1_000;

/** Measurements of a kind that are taken also while the proxy is held back. */
const FIRST_MEASUREMENTS = 32;

/** While a proxy is held back, its pace is low for two latencies at intervals of this, in ms, to measure the instance without a crowd. */
const DIP_INTERVAL_MS = 5_000;

/** Statements of dips that are compared with the baseline, and the ratio below which it is corrected. */
const DIP_COUNT = 16;
const DIP_RATIO = 0.85;

/** Latency that is assumed before the first answers, in ms, and the weight of one answer in its mean. */
const INITIAL_LATENCY_MS = 30;
const LATENCY_WEIGHT = 0.1;

/** Time between two answers that is assumed at first, in ms, the longest that counts, and the weight of one. */
const INITIAL_INTERVAL_MS = 20;
const MAX_INTERVAL_MS = 5_000;
const INTERVAL_WEIGHT = 0.05;

/** What was measured when a decline began. */
interface Decline {
  readonly pace: number;
  readonly inFlight: number;
  readonly ratio: number;
}

/** Pace of one proxy at one instance. */
export class Pace implements StatementLimit {
  readonly #initial: number;
  readonly #onChange: (change: PaceChange) => void;
  readonly #baseline = new LatencyBaseline();
  readonly #ratio = new LatencyRatio();
  readonly #dipRatio = new LatencyRatio();
  readonly #failures = new FailureRate();
  #pace: number;
  #change: PaceChange;
  #isGrowingFirst = true;
  #decline: Decline | undefined;
  /** A decline that is being examined. */
  #examined: Decline | undefined;
  /** Pace before the last decline or rejection. */
  #former = 0;
  #measured = 0;
  #meanLatency = INITIAL_LATENCY_MS;
  #meanInterval = INITIAL_INTERVAL_MS;
  #measuredAt: number;
  #adaptedAt: number;
  /** Monotonic ms: statements that were sent before say nothing about the present pace. */
  #validFrom = -Infinity;
  #rejectedAt = -Infinity;
  #heldBackAt = -Infinity;
  /** Monotonic ms of the last measurement at a low pace. */
  #unhurriedAt: number;
  #dipUntil = -Infinity;
  #pausedUntil = -Infinity;
  #backoffUntil = -Infinity;

  /** `capacity` is what the instance reports, if it does; `onChange` is called with each change that is not slow growth. */
  constructor(
    capacity: number | undefined,
    now: number,
    onChange: (change: PaceChange) => void = () => {},
  ) {
    const isPlausible = capacity !== undefined && capacity >= 1;
    this.#initial = isPlausible
      ? Math.min(MAX_INITIAL_PACE, capacity)
      : INITIAL_PACE;
    this.#pace = this.#initial;
    this.#change = { reason: "start", pace: this.#pace, at: now };
    this.#measuredAt = this.#adaptedAt = this.#unhurriedAt = now;
    this.#onChange = onChange;
  }

  get current(): number {
    return Math.max(MIN_PACE, this.#pace * this.#failures.trust);
  }

  /** The latest change that was not slow growth. */
  get lastChange(): PaceChange {
    return this.#change;
  }

  allows(inFlight: number, now: number, isUrgent = false): boolean {
    if (now < this.#backoffUntil) return false;
    const pace = now < this.#dipUntil ? this.#dipPace : this.current;
    return pace < 1
      ? inFlight === 0 && (isUrgent || now >= this.#pausedUntil)
      : inFlight < Math.round(pace);
  }

  remainingPause(now: number, isUrgent = false): number {
    const isPaused = this.current < 1 && !isUrgent;
    const until = isPaused ? this.#pausedUntil : this.#dipUntil;
    return Math.max(0, until - now, this.#backoffUntil - now);
  }

  recordHeldBack(now: number): void {
    this.#heldBackAt = now;
  }

  record(
    flight: Flight,
    outcome: FlightOutcome,
    inFlight: number,
    now: number,
  ): void {
    const { sentAt } = flight;
    if (sentAt === undefined || outcome === "not run") return;
    if (outcome === "rejected") this.#reject(flight, sentAt, now);
    else this.#failures.record(outcome === "failed");
    if (outcome === "answered") this.#measure(flight, sentAt, inFlight, now);
    if (this.current < 1) this.#pause(now);
  }

  /** Pace of a dip, at which this proxy doesn't crowd the instance. */
  get #dipPace(): number {
    return Math.max(1, Math.min(this.#initial, this.#pace / 2));
  }

  #measure(
    { kind, inFlight: sentAmong }: Flight,
    sentAt: number,
    inFlight: number,
    now: number,
  ): void {
    const latency = now - sentAt;
    this.#measured += 1;
    this.#meanLatency += (latency - this.#meanLatency) * LATENCY_WEIGHT;
    const interval = Math.min(MAX_INTERVAL_MS, now - this.#measuredAt);
    this.#meanInterval += (interval - this.#meanInterval) * INTERVAL_WEIGHT;
    this.#measuredAt = now;
    const baseline = this.#baseline.of(kind);
    const isHeldBack = now - this.#heldBackAt < HELD_BACK_MS;
    const isFirst = (baseline?.count ?? 0) < FIRST_MEASUREMENTS;
    const isUnhurried = sentAmong <= Math.max(1, this.#unhurriedPace);
    if (isUnhurried) this.#unhurriedAt = now;
    else if (isHeldBack) this.#planDip(now);
    if (isUnhurried && (isFirst || !isHeldBack)) {
      this.#baseline.record(kind, latency);
    }
    if (!baseline || this.#measured < INITIAL_COUNT) {
      // After rejections at the start it has to come back to the initial pace.
      const elapsed = this.#takeStep(now);
      if (this.#pace < this.#initial) this.#grow(IDLE_RATIO, elapsed, inFlight);
      return;
    }
    if (isUnhurried && isHeldBack) {
      this.#dipRatio.record(latency, baseline, sentAmong);
      this.#correctBaseline();
    }
    if (sentAt < this.#validFrom) return;
    this.#ratio.record(latency, baseline, sentAmong);
    if (this.#examined) this.#examine(this.#examined, now);
    else this.#adapt(inFlight, now);
  }

  /** Statements among which one is sent without being crowded by this proxy. */
  get #unhurriedPace(): number {
    return this.#pace >= this.#initial ? this.#initial : this.#pace / 2;
  }

  #planDip(now: number): void {
    if (now - this.#unhurriedAt < DIP_INTERVAL_MS) return;
    this.#unhurriedAt = now;
    this.#dipUntil = now + 2 * this.#meanLatency;
  }

  /** Lowers a baseline that is above what statements take in dips. Dips never raise it, since others may crowd the instance meanwhile. */
  #correctBaseline(): void {
    if (this.#dipRatio.count < DIP_COUNT) return;
    const ratio = this.#dipRatio.value;
    this.#dipRatio.reset();
    if (ratio >= DIP_RATIO) return;
    this.#baseline.scale(ratio);
    this.#ratio.reset();
  }

  /** Time in ms for which the pace is changed now. */
  #takeStep(now: number): number {
    const elapsed = Math.min(MAX_STEP_MS, now - this.#adaptedAt);
    this.#adaptedAt = now;
    return elapsed;
  }

  /** Changes the pace in proportion to the distance of the ratio from its target, more slowly if the ratio is measured rarely. */
  #adapt(inFlight: number, now: number): void {
    const { count, value, noise } = this.#ratio;
    const elapsed = this.#takeStep(now);
    if (count < MIN_COUNT) return;
    // A sum of few durations is rarely far below its mean, hence the exponent.
    if (value < (1 + noise) ** -1.5) {
      this.#baseline.scale(value);
      return this.#set(Math.max(this.#pace, this.#former), "faster", now);
    }
    const { pace = Infinity } = this.#decline ?? {};
    if (value < IDLE_RATIO || this.#pace > pace) this.#decline = undefined;
    if (value < CROWDED_RATIO || count < MIN_CROWDED_COUNT) {
      return this.#grow(value, elapsed, inFlight);
    }
    this.#shrink(value, elapsed, now);
  }

  /** Relative change of the pace per ms and unit of the ratio. */
  get #gain(): number {
    const lag = LAG_COUNT * this.#meanInterval;
    const gain = CORRECTED_PART / (CROWDED_RATIO * lag);
    return Math.min(MAX_GAIN_PER_MS, Math.max(MIN_GAIN_PER_MS, gain));
  }

  #grow(ratio: number, elapsed: number, inFlight: number): void {
    // A pace that is not used up needs no growth.
    if (inFlight + 1 < Math.floor(this.#pace)) return;
    if (this.#isGrowingFirst) {
      this.#pace += INITIAL_GROWTH;
      return;
    }
    const distance = Math.max(0, GROWTH_RATIO - ratio) + CREEP_RATIO;
    const least = ratio <= IDLE_RATIO ? IDLE_GROWTH_PER_MS : 0;
    const growth = Math.max(this.#gain * distance, least);
    this.#pace = Math.min(MAX_PACE, this.#pace * Math.exp(growth * elapsed));
  }

  #shrink(ratio: number, elapsed: number, now: number): void {
    this.#isGrowingFirst = false;
    const used = this.#ratio.inFlight;
    // Only a pace that is used up holds anything back.
    this.#pace = Math.min(this.#pace, 1.5 * used + 0.5);
    const { pace, inFlight } = this.#decline ??
      { pace: this.#pace, inFlight: used };
    const isBeginning = !this.#decline || this.#pace > 0.8 * pace;
    if (isBeginning) this.#decline = { pace, inFlight, ratio };
    // A ratio far above the limit is no chance.
    const distance = (CROWDED_RATIO - ratio) * ratio / CROWDED_RATIO;
    const change = this.#gain * distance * elapsed;
    this.#pace = Math.max(MIN_PACE, this.#pace * Math.exp(change));
    if (this.#pace > EXAMINED_PART * pace) return;
    this.#former = pace;
    this.#examined = this.#decline;
    this.#set(this.#pace, "crowded", now);
  }

  /**
   * Finds out whether a decline has helped, by a sequential likelihood ratio test. If latency has not
   * fallen with the statements in flight, the instance is slower, but not crowded: other proxies see
   * the same ratio and have reduced their pace as well.
   */
  #examine(decline: Decline, now: number): void {
    const { count, value, inFlight } = this.#ratio;
    if (count < MIN_COUNT) return;
    const crowded = Math.max(1, decline.ratio * inFlight / decline.inFlight);
    const slower = decline.ratio;
    // For exponential durations, which are the most variable ones that are usual.
    const evidence = count *
      (value * (1 / crowded - 1 / slower) - Math.log(slower / crowded));
    const isClear = Math.abs(evidence) > EVIDENCE ||
      count > MAX_EXAMINED_COUNT;
    if (!isClear) return;
    this.#examined = undefined;
    this.#adaptedAt = now;
    if (evidence < 0) return;
    this.#baseline.scale(value);
    const pace = MARGIN * decline.inFlight * value / slower;
    this.#set(
      Math.max(this.#pace, Math.min(decline.pace, pace)),
      "slower, but not crowded",
      now,
    );
  }

  #reject({ inFlight }: Flight, sentAt: number, now: number): void {
    if (this.#pace < 2) {
      const longest = Math.max(REJECTION_PAUSE_MS, 2 * this.#meanLatency);
      this.#backoffUntil = now + longest * Math.random();
    }
    // Rejections of statements that were sent before the last one carry no new information.
    if (sentAt < this.#rejectedAt) return;
    this.#rejectedAt = now;
    this.#isGrowingFirst = false;
    this.#examined = undefined;
    const pace = REJECTION_FACTOR * Math.min(this.#pace, inFlight);
    this.#set(pace, "rejections", now);
  }

  /** Sets the time of the next statement at a pace below 1; urgent statements that went before it count as well. */
  #pause(now: number): void {
    const pause = this.#meanLatency * (1 / this.current - 1) *
      (0.5 + Math.random());
    this.#pausedUntil = Math.min(
      now + MAX_PAUSE_MS,
      Math.max(now, this.#pausedUntil) + pause,
    );
  }

  #set(pace: number, reason: PaceReason, now: number): void {
    this.#pace = Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
    this.#adaptedAt = this.#validFrom = now;
    this.#decline = undefined;
    this.#ratio.reset();
    this.#dipRatio.reset();
    this.#change = { reason, pace: this.#pace, at: now };
    this.#onChange(this.#change);
  }
}
