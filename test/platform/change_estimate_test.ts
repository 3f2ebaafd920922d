import { describe, it } from "node:test";
import { expect } from "earl";
import { ChangeEstimate } from "../../src/plugins/leadership/change_estimate.ts";

/**
 * Simulates one arrival every 10 ms during a change; returns how many were held
 * and served, held until their timeout, and refused.
 */
function runChange(
  estimate: ChangeEstimate,
  duration: number,
  statementTimeout: number,
) {
  let served = 0;
  let timedOut = 0;
  let refused = 0;
  estimate.start(0);
  for (let at = 0; at < duration; at += 10) {
    const remaining = estimate.remaining(at);
    const held = remaining !== undefined && remaining <= statementTimeout;
    if (!held) refused += 1;
    else if (duration - at <= statementTimeout) served += 1;
    else timedOut += 1;
  }
  estimate.finish(duration);
  return { served, timedOut, refused };
}

describe("ChangeEstimate", () => {
  it("holds statements that can be served in time and refuses the others, once changes were measured", () => {
    const estimate = new ChangeEstimate();
    for (let turn = 0; turn < 8; turn += 1) runChange(estimate, 1_100, 800);
    const { served, timedOut, refused } = runChange(estimate, 1_100, 800);
    expect(served >= 78).toEqual(true);
    expect(timedOut <= 2).toEqual(true);
    expect(refused >= 28).toEqual(true);
  });

  it("holds no statements for a change that is long overdue", () => {
    const estimate = new ChangeEstimate();
    const { refused } = runChange(estimate, 9_000, 800);
    expect(refused > 700).toEqual(true);
    expect(estimate.remaining(20_000) !== undefined).toEqual(true);
  });

  it("limits the effect of one long change on the estimate", () => {
    const estimate = new ChangeEstimate();
    runChange(estimate, 60_000, 800);
    estimate.start(100_000);
    expect(estimate.remaining(100_000)! <= 2_800).toEqual(true);
  });
});
