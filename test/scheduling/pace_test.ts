import { describe } from "node:test";
import { expect } from "earl";
import { clock } from "../../src/kernel/clock.ts";
import { Pace } from "../../src/plugins/scheduling/pace.ts";
import { sleep } from "../../src/utils/sleep.ts";
import {
  type InstanceShape,
  SimulatedInstance,
} from "../platform/fixtures/simulated_instance.ts";
import { itInVirtualTime as it } from "../platform/fixtures/virtual_time.ts";

const SLOTS = 6;
const WORK_MS = 30;

/** An instance whose slowness and failures can be set, and a caller that sends as many statements as a pace allows. */
function saturate(capacity?: number) {
  const state = { slowness: 1, failureRate: 0 };
  const shape: InstanceShape = {
    slots: SLOTS,
    queue: 48,
    connections: 100,
    handshake: 12,
    delay: 0,
    slowness: () => state.slowness,
    failureRate: () => state.failureRate,
  };
  const instance = new SimulatedInstance(shape, false);
  const pace = new Pace(capacity, clock.now());
  let inFlight = 0;
  let worked = 0;
  let ended = 0;
  const send = () => {
    const now = clock.now();
    pace.recordHeldBack(now);
    while (pace.allows(inFlight, now)) {
      inFlight += 1;
      const flight = {
        account: "",
        rank: 0,
        charged: 0,
        kind: "x",
        inFlight,
        sentAt: now,
      };
      const work = -WORK_MS * Math.log(1 - Math.random());
      const end = (outcome: "answered" | "failed" | "rejected") => {
        inFlight -= 1;
        ended += 1;
        pace.record(flight, outcome, inFlight, clock.now());
        send();
      };
      const taken = instance.submit(work, (time) => {
        worked += time;
        end(instance.fails ? "failed" : "answered");
      });
      if (!taken) setTimeout(() => end("rejected"), 1);
    }
    const pause = pace.remainingPause(now);
    if (pause > 0) setTimeout(send, pause + 1);
  };
  send();
  /** Part of the slots' time that is used in the next so many ms, and the number of statements that end. */
  const watch = async (time: number) => {
    worked = ended = 0;
    await sleep(time);
    return { use: worked / (SLOTS * time), ended };
  };
  const use = async (time: number) => (await watch(time)).use;
  return { pace, instance, state, use, watch };
}

describe("Pace", () => {
  // Guards against instances that are flooded, or left idle, when a reported capacity is wrong or missing.
  for (const capacity of [undefined, 6, 1, 0, -1, 1e9]) {
    it(`finds the slots of an instance that reports a capacity of ${capacity}`, async () => {
      const { pace, instance, use } = saturate(capacity);
      await sleep(2_000);
      expect(await use(3_000)).toBeGreaterThan(0.9);
      expect(pace.current).toBeLessThan(4 * SLOTS);
      expect(instance.busy).toEqual(0);
    });
  }

  // Guards against statements that wait at an instance which has become slow.
  it("falls at once when the instance gets ten times as slow, and uses it again within seconds", async () => {
    const { pace, state, use } = saturate(SLOTS);
    await sleep(4_000);
    const usual = pace.current;
    state.slowness = 10;
    await sleep(800);
    expect(pace.current).toBeLessThan(0.8 * usual);
    await sleep(4_000);
    expect(await use(4_000)).toBeGreaterThan(0.8);
    state.slowness = 1;
    await sleep(2_000);
    expect(await use(2_000)).toBeGreaterThan(0.9);
  });

  // Guards against a slow instance that is taken for a crowded one and left idle.
  it("keeps using an instance that is slower, but not crowded", async () => {
    const { state, use } = saturate(SLOTS);
    await sleep(4_000);
    state.slowness = 1.6;
    await sleep(2_000);
    expect(await use(6_000)).toBeGreaterThan(0.8);
  });

  it("gives less to an instance that fails a third of its statements", async () => {
    const { pace, state, use } = saturate(SLOTS);
    await sleep(4_000);
    const usual = pace.current;
    state.failureRate = 1 / 3;
    await sleep(300);
    expect(pace.current).toBeLessThan(0.95 * usual);
    expect(await use(5_000)).toBeGreaterThan(0.75);
  });

  // Guards against an instance that never returns to service, and one that is flooded while it fails.
  it("sends trial statements to an instance that fails all, and returns when it recovers", async () => {
    const { state, use, watch } = saturate(SLOTS);
    await sleep(2_000);
    state.failureRate = 1;
    await sleep(2_000);
    const trials = await watch(10_000);
    expect(trials.use).toBeLessThan(0.05);
    expect(trials.ended).toBeGreaterThan(2);
    state.failureRate = 0;
    await sleep(6_000);
    expect(await use(2_000)).toBeGreaterThan(0.8);
  });
});
