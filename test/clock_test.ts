import { readdirSync, readFileSync } from "node:fs";
import { uptime } from "node:os";
import { beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import fc from "fast-check";
import { clock } from "../src/kernel/clock.ts";
import { type EventLog, Events } from "../src/kernel/events.ts";
import {
  type SuspensionClocks,
  SuspensionLog,
} from "../src/kernel/suspension_log.ts";

const UPTIME_RESOLUTION_MS = 10;
/** Shortest length that the log of suspensions writes, in ms. */
const MIN_LENGTH_MS = 10;
/** Longest delay that is expected between the two readings at the start of the process's clock. */
const MAX_DELAY_MS = 1_000;

describe("the clock of the process", () => {
  it("starts with the monotonic clock and never goes back", () => {
    const before = performance.now();
    const now = clock.now();
    const after = performance.now();
    expect(now).toBeGreaterThan(before - MAX_DELAY_MS);
    expect(now).toBeLessThan(after + MAX_DELAY_MS);
    let last = now;
    for (let reading = 0; reading < 10_000; reading += 1) {
      const next = clock.now();
      expect(next >= last).toEqual(true);
      last = next;
    }
  });

  it("advances like the uptime of the host, which counts suspensions", async () => {
    const readUptime = () => {
      const before = clock.now();
      const uptimeMs = uptime() * 1_000;
      return { before, uptimeMs, after: clock.now() };
    };
    const first = readUptime();
    await sleep(100);
    const last = readUptime();
    const elapsed = last.uptimeMs - first.uptimeMs;
    const min = last.before - first.after;
    const max = last.after - first.before;
    expect(elapsed).toBeGreaterThan(min - UPTIME_RESOLUTION_MS);
    expect(elapsed).toBeLessThan(max + UPTIME_RESOLUTION_MS);
  });

  // Guards against ages and leases by a clock that stands still while the host is suspended, or that others set.
  it("is the only one by which the product measures durations", () => {
    const others = /\bperformance\b|hrtime|Date\.now|new Date|os\.uptime/;
    const allowed = [
      "src/kernel/clock.ts",
      "src/kernel/suspension_log.ts",
      // Times of day that are only shown, and the number of a new incarnation.
      "src/plugins/document/head_writer.ts",
      "src/plugins/membership/gossip_membership.ts",
    ];
    const files = ["src", "platform"].flatMap((folder) =>
      readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter((name) => name.endsWith(".ts"))
        .map((name) => `${folder}/${name}`)
    );
    expect(files.length > 0).toEqual(true);
    const found = files.filter((file) =>
      !allowed.includes(file) && others.test(readFileSync(file, "utf8"))
    );
    expect(found).toEqual([]);
  });
});

/** A host whose two clocks are set by hand; a pause lies between two readings. */
class ControlledHost implements SuspensionClocks {
  readonly host = { now: () => this.#read(this.#suspendedMs) };
  readonly monotonic = { now: () => this.#read(0) };
  readonly #pausesMs = new Map<number, number>();
  #elapsedMs = 1_000;
  #suspendedMs = 0;
  #readings = 0;

  get readings(): number {
    return this.#readings;
  }

  suspend(ms: number): void {
    this.#suspendedMs += ms;
  }

  /** Stops the process for a time before the reading of that number, from 0. */
  pauseBefore(reading: number, ms: number): void {
    this.#pausesMs.set(reading, ms);
  }

  #read(suspendedMs: number): number {
    this.#elapsedMs += this.#pausesMs.get(this.#readings) ?? 0;
    this.#readings += 1;
    return this.#elapsedMs + suspendedMs;
  }
}

describe("the log of suspensions", () => {
  let lengths: number[];
  let host: ControlledHost;
  const log = {
    write: (kind: unknown, fields: { readonly ms: number }) => {
      expect(kind).toEqual(Events.SUSPENSION_OBSERVED);
      lengths.push(fields.ms);
    },
  } as unknown as EventLog;
  beforeEach(() => {
    lengths = [];
    host = new ControlledHost();
  });

  it("adds short suspensions up and writes each length once", () => {
    const suspensions = new SuspensionLog(log, host);
    suspensions.check();
    for (let count = 0; count < 5; count += 1) {
      host.suspend(6);
      suspensions.check();
      suspensions.check();
    }
    host.suspend(4_000);
    suspensions.check();
    suspensions.check();
    expect(lengths).toEqual([12, 12, 4_006]);
  });

  // Guards against a line 111 on a loaded host, whose process pauses between the readings of the two clocks.
  it("takes no pause of the process for a suspension", () => {
    const play = () => {
      const suspensions = new SuspensionLog(log, host);
      for (const ms of [0, 0, 4_000, 0, 0, 6, 6, 0, 0]) {
        host.suspend(ms);
        suspensions.check();
      }
    };
    play();
    const undisturbed = lengths;
    expect(undisturbed).toEqual([4_000, 12]);
    const { readings } = host;
    for (let reading = 0; reading <= readings; reading += 1) {
      for (const pauseMs of [11, 500, 5_000]) {
        lengths = [];
        host = new ControlledHost();
        host.pauseBefore(reading, pauseMs);
        play();
        expect(lengths.length).toEqual(undisturbed.length);
        for (const [index, length] of lengths.entries()) {
          expect(length).toBeLessThanOrEqual(undisturbed[index]!);
        }
      }
    }
  });

  it("writes and loses no more than pauses leave open", () => {
    const durations = fc.oneof(
      fc.constant(0),
      fc.integer({ min: 1, max: 6_000 }),
    );
    const checks = fc.array(
      fc.record({
        suspendedMs: durations,
        pausesMs: fc.tuple(durations, durations, durations),
      }),
      { maxLength: 8 },
    );
    fc.assert(fc.property(checks, (schedule) => {
      lengths = [];
      host = new ControlledHost();
      const suspensions = new SuspensionLog(log, host);
      let unloggedMs = 0;
      let pausedMs = 0;
      for (const { suspendedMs, pausesMs } of schedule) {
        host.suspend(suspendedMs);
        unloggedMs += suspendedMs;
        let pausedNowMs = 0;
        for (const [index, pauseMs] of pausesMs.entries()) {
          host.pauseBefore(host.readings + index, pauseMs);
          pausedNowMs += pauseMs;
        }
        pausedMs += pausedNowMs;
        lengths = [];
        suspensions.check();
        if (lengths.length === 0) {
          expect(unloggedMs).toBeLessThan(MIN_LENGTH_MS + pausedMs);
          continue;
        }
        const [length, ...others] = lengths;
        expect(others).toEqual([]);
        expect(length!).toBeLessThanOrEqual(unloggedMs);
        expect(length!).toBeGreaterThanOrEqual(unloggedMs - pausedMs);
        unloggedMs = 0;
        pausedMs = pausedNowMs;
      }
    }));
  });
});
