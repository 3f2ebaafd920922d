import { describe, it } from "node:test";
import { expect } from "earl";
import { clock } from "../../src/kernel/clock.ts";
import { siteKinds } from "../platform/fixtures/accounts_site.ts";
import { type GroupLoad, playLoad } from "../platform/fixtures/loaded_group.ts";

const SLOTS = 6;

const ILL_UNTIL_MS = 6_000;
const UNTIL_MS = 12_000;
const STEP_MS = 500;

/** Plays a load of 130% of the slots for some seeds, and tells what callers got and how long the instance was not fully used after it was well. */
async function play(
  load: Partial<GroupLoad>,
  wellFrom: number,
  seeds: readonly number[],
) {
  const counts = { asked: 0, inTime: 0, late: 0, urgent: 0, busy: 0 };
  let fullAfter = 0;
  for (const seed of seeds) {
    let worked = 0;
    let fullAt = Infinity;
    const { kinds: results, busy } = await playLoad({
      proxies: 1,
      slots: SLOTS,
      queue: 48,
      connections: 300,
      handshake: 12,
      delay: 0.2,
      lagging: 0,
      kinds: siteKinds(1.3 * SLOTS),
      from: 100,
      until: UNTIL_MS,
      seed,
      capacity: SLOTS,
      every: {
        interval: STEP_MS,
        look: ({ slotTime }) => {
          const use = (slotTime - worked) / (SLOTS * STEP_MS);
          worked = slotTime;
          const now = clock.now();
          if (now > wellFrom && use > 0.9) fullAt = Math.min(fullAt, now);
        },
      },
      ...load,
    });
    for (const { asked, inTime, late } of results.values()) {
      counts.asked += asked;
      counts.inTime += inTime;
      counts.late += late;
    }
    const urgent = results.get("urgent")!;
    counts.urgent += urgent.inTime / urgent.asked / seeds.length;
    counts.busy += busy;
    fullAfter = Math.max(fullAfter, fullAt - wellFrom);
  }
  const { asked, inTime, late, urgent, busy } = counts;
  return {
    inTime: inTime / asked,
    late: late / asked,
    urgent,
    busy,
    fullAfter,
  };
}

const isIll = (at: number) => at < ILL_UNTIL_MS;
const instances = new Map<string, Partial<GroupLoad>>([
  ["is well at once", {}],
  ["is 1.6 times as slow", { slowness: (at) => isIll(at) ? 1.6 : 1 }],
  ["is ten times as slow", { slowness: (at) => isIll(at) ? 10 : 1 }],
  ["fails a third", { failureRate: (at) => isIll(at) ? 1 / 3 : 0 }],
]);

describe("an instance at 130% of what it can do when it is well", () => {
  for (const proxies of [1, 4, 26, 144]) {
    describe(`that ${proxies} proxies use which don't hear of each other`, () => {
      // One seed suffices where chance averages out over many proxies.
      const seeds = proxies > 100 ? [1] : [1, 2];
      for (const [name, instance] of instances) {
        // Guards against a pace that serves callers worse than limiting by rejections (ConcurrencyLimit) does.
        it(`serves as many, fewer late and urgent work first if it ${name}`, async () => {
          const wellFrom = name === "is well at once" ? 0 : ILL_UNTIL_MS;
          const load = { ...instance, proxies };
          const scheduledShare = Math.max(2, Math.floor(300 / proxies));
          const former = await play(load, wellFrom, seeds);
          const paced = await play(
            { ...load, scheduledShare },
            wellFrom,
            seeds,
          );
          expect(paced.inTime).toBeGreaterThan(former.inTime - 0.02);
          expect(paced.late).toBeLessThanOrEqual(former.late + 0.005);
          expect(paced.urgent).toBeGreaterThan(former.urgent);
          expect(paced.busy).toBeLessThanOrEqual(former.busy);
          expect(paced.fullAfter).toBeLessThanOrEqual(3_000);
        });
      }
    });
  }
});
