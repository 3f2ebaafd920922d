import { expect } from "earl";
import { describe, it } from "node:test";
import { ConcurrencyLimit } from "../../src/plugins/connections/concurrency_limit.ts";

describe("the statements of a proxy at an instance", () => {
  it("begin with two, and grow with each answer while none is turned away", () => {
    const limit = new ConcurrencyLimit();
    expect(limit.bound).toEqual(2);
    limit.answered(4);
    expect(limit.bound).toEqual(3);
    limit.answered(4);
    limit.answered(4);
    expect(limit.bound).toEqual(Infinity);
    expect(limit.pause(0)).toEqual(0);
  });

  it("are fewer after one was turned away, and only once for a burst of answers", () => {
    const limit = new ConcurrencyLimit();
    for (let count = 0; count < 8; count += 1) limit.answered(20);
    limit.turnedAway(10, 1_000);
    expect(limit.bound).toEqual(7);
    limit.turnedAway(10, 1_010);
    expect(limit.bound).toEqual(7);
    limit.turnedAway(7, 1_100);
    expect(limit.bound).toEqual(4);
  });

  it("are never fewer than one, which then pauses", () => {
    const limit = new ConcurrencyLimit();
    limit.turnedAway(1, 1_000);
    limit.turnedAway(1, 2_000);
    expect(limit.bound).toEqual(1);
    expect(limit.pause(2_000)).toBeLessThan(121);
    expect(limit.pause(2_200)).toEqual(0);
  });

  it("grow with answers until nothing bounds them", () => {
    const limit = new ConcurrencyLimit();
    limit.turnedAway(2, 1_000);
    expect(limit.bound).toEqual(1);
    for (let count = 0; count < 10; count += 1) limit.answered(4);
    expect(limit.bound).toEqual(2);
    for (let count = 0; count < 60; count += 1) limit.answered(4);
    expect(limit.bound).toEqual(Infinity);
  });
});
