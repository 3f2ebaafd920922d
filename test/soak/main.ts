/**
 * `npm run soak -- --seed 1 --seconds 20 --runs 1 --hosts 3 --suspensions --drills`: the
 * soak by hand; seeds follow one another, the exit code is 1 when anything was
 * broken.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { runSoak } from "./platform_soak.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seconds: { type: "string", default: "20" },
    runs: { type: "string", default: "1" },
    hosts: { type: "string", default: "3" },
    suspensions: { type: "boolean", default: false },
    drills: { type: "boolean", default: false },
  },
});

for (let run = 0; run < Number(values.runs); run += 1) {
  const report = await runSoak({
    seed: Number(values.seed) + run,
    seconds: Number(values.seconds),
    hosts: Number(values.hosts),
    suspensions: values.suspensions,
    drills: values.drills,
  });
  const { schedule, ...rest } = report;
  console.log(JSON.stringify(rest));
  if (report.violations.length === 0) continue;
  process.exitCode = 1;
  console.log(schedule.join("\n"));
}
