import { describe, it } from "node:test";
import { expect } from "earl";
import { runSoak } from "../soak/platform_soak.ts";

describe("a short soak on the platform's stand-ins", () => {
  it("breaks no promise and serves", async () => {
    const report = await runSoak({ seed: 1, seconds: 12, hosts: 2 });
    expect(report.violations).toEqual([]);
    expect(report.acknowledged > 50).toEqual(true);
  });

  // Before the drain had phases, a planned stop cut off two statements with this seed.
  it("breaks no promise with a seed that failed", async () => {
    const report = await runSoak({ seed: 2805, seconds: 14, hosts: 3 });
    expect(report.violations).toEqual([]);
  });

  it("breaks no promise while the store comes back from copies", async () => {
    const report = await runSoak({
      ...{ seed: 3601, seconds: 16, hosts: 3 },
      drills: true,
    });
    expect(report.violations).toEqual([]);
    expect(report.schedule.some((line) => line.includes("drill")))
      .toEqual(true);
  });

  // Before ages were measured by a clock that counts suspensions, a host read too old data with this seed.
  it("breaks no promise while hosts are suspended in series", async () => {
    const report = await runSoak({
      ...{ seed: 3206, seconds: 16, hosts: 3 },
      suspensions: true,
    });
    expect(report.violations).toEqual([]);
  });
});
