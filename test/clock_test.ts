import { readdirSync, readFileSync } from "node:fs";
import { uptime } from "node:os";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { clock } from "../src/kernel/clock.ts";
import { type EventLog, Events } from "../src/kernel/events.ts";
import { SuspensionLog } from "../src/kernel/suspension_log.ts";
import { createSuspension } from "./support/suspension.ts";

const UPTIME_RESOLUTION_MS = 10;
/** Longest delay that is expected between two readings of a busy machine. */
const MAX_DELAY_MS = 1_000;

describe("the clock of the process", () => {
  it("starts with the monotonic clock and never goes back", () => {
    const before = clock.now();
    const now = performance.now();
    expect(Math.abs(now - before) < MAX_DELAY_MS).toEqual(true);
    let last = before;
    for (let reading = 0; reading < 10_000; reading += 1) {
      const next = clock.now();
      expect(next >= last).toEqual(true);
      last = next;
    }
  });

  it("advances like the uptime of the host, which counts suspensions", async () => {
    const before = clock.now() - uptime() * 1_000;
    await sleep(100);
    const after = clock.now() - uptime() * 1_000;
    expect(Math.abs(after - before) < UPTIME_RESOLUTION_MS + MAX_DELAY_MS)
      .toEqual(true);
  });

  // Guards against ages and leases by a clock that stands still while the host is suspended, or that others set.
  it("is the only one by which the product measures durations", () => {
    const others = /performance\.now|hrtime|Date\.now|new Date|os\.uptime/;
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

describe("the log of suspensions", () => {
  it("adds short suspensions up and writes each length once", (test) => {
    const written: unknown[] = [];
    const log = {
      write: (kind: unknown, fields: unknown) => written.push([kind, fields]),
    } as unknown as EventLog;
    const suspend = createSuspension(test);
    const suspensions = new SuspensionLog(log);
    suspensions.check();
    for (let count = 0; count < 5; count += 1) {
      suspend(6);
      suspensions.check();
      suspensions.check();
    }
    suspend(4_000);
    suspensions.check();
    const lengths = written.map((item) => {
      const [kind, { ms }] = item as [unknown, { readonly ms: number }];
      expect(kind).toEqual(Events.SUSPENSION_OBSERVED);
      return ms;
    });
    expect(lengths.length).toEqual(3);
    for (const [index, expected] of [12, 12, 4_006].entries()) {
      expect(Math.abs(lengths[index]! - expected) <= 1).toEqual(true);
    }
  });
});
