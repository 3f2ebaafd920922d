import { describe, it } from "node:test";
import { expect } from "earl";
import { ChangeEstimate } from "../../src/plugins/leadership/change_estimate.ts";

/** Simulates one arrival every 10 ms during a change; returns how many were held and served, held until their timeout, and refused. */
function playChange(
  estimate: ChangeEstimate,
  length: number,
  statementTimeout: number,
) {
  let served = 0;
  let inVain = 0;
  let refused = 0;
  estimate.start(0);
  for (let at = 0; at < length; at += 10) {
    const left = estimate.remaining(at);
    const held = left !== undefined && left <= statementTimeout;
    if (!held) refused += 1;
    else if (length - at <= statementTimeout) served += 1;
    else inVain += 1;
  }
  estimate.finish(length);
  return { served, inVain, refused };
}

describe("ChangeEstimate", () => {
  it("holds statements that can be served in time and refuses the others, once changes were measured", () => {
    const estimate = new ChangeEstimate();
    for (let turn = 0; turn < 8; turn += 1) playChange(estimate, 1_100, 800);
    const { served, inVain, refused } = playChange(estimate, 1_100, 800);
    expect(served >= 78).toEqual(true);
    expect(inVain <= 2).toEqual(true);
    expect(refused >= 28).toEqual(true);
  });

  it("holds no statements for a change that is long overdue", () => {
    const estimate = new ChangeEstimate();
    const { refused } = playChange(estimate, 9_000, 800);
    expect(refused > 700).toEqual(true);
    expect(estimate.remaining(20_000) !== undefined).toEqual(true);
  });

  it("limits the effect of one long change on the estimate", () => {
    const estimate = new ChangeEstimate();
    playChange(estimate, 60_000, 800);
    estimate.start(100_000);
    expect(estimate.remaining(100_000)! <= 2_800).toEqual(true);
  });
});
