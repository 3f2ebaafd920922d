/** A group with one synchronous replica, which drains: when the primary crashes, the promoted instance must have every acknowledged commit. */
import {
  BROKEN,
  Deployment,
  HELD,
  NOT_RUN,
  runCase,
  sleep,
  until,
} from "../lib-2/deployment.mjs";
import { Caller } from "../lib-2/caller.mjs";

/** How long the other replica receives nothing before the primary crashes, in ms; the site's `replica_lag` lasts 6 s. */
const DEAF_MS = 3_000;
const PRIMARY = "i-ledger-0";
const DRAINING = "i-ledger-1";
const BEHIND = "i-ledger-2";

await runCase(import.meta.dirname, async ({ record, troubled }) => {
  const deployment = await Deployment.start({
    hosts: 2,
    syncReplicas: 1,
    routes: [{ host: "booking", service: "ledger", kind: "primary" }],
  });
  const { store, hosts } = deployment;
  const group = deployment.groups.get("ledger");
  const acknowledged = [];
  try {
    const callers = await Promise.all(
      hosts.map((host) => Caller.open(host, "booking")),
    );
    const book = async (count) => {
      for (let n = 0; n < count; n += 1) {
        const id = `w${acknowledged.length}n${n}`;
        const caller = callers[n % callers.length];
        const { end, position } = await caller.run(id, `WRITE item${n} booked`);
        record.write("write", id, "->", end, position ?? "");
        if (end === "COMPLETE") acknowledged.push(id);
      }
    };
    await book(10);
    group.drain(DRAINING);
    record.write("planned work:", DRAINING, "drains");
    await sleep(1_000);
    if (troubled) {
      group.get(BEHIND).isDeaf = true;
      record.write("from now on", BEHIND, "receives nothing");
    }
    await book(10);
    await sleep(DEAF_MS);
    for (const { id, role, log } of group.instances) {
      record.write(id, role, "has", log.length, "commits");
    }
    group.crash(PRIMARY);
    record.write(PRIMARY, "crashes");
    await until(() => store.promotions.length > 0, 20_000, "a promotion");
    await sleep(1_000);
    const { id } = store.promotions.at(-1);
    const promoted = group.get(id);
    const held = new Set(
      promoted.log.flatMap(({ writes }) => writes.map((write) => write.id)),
    );
    const lost = acknowledged.filter((one) => !held.has(one));
    record.write("promoted", store.promotions);
    record.write(
      "acknowledged",
      acknowledged.length,
      "not in the log of",
      id,
      lost,
    );
    if (promoted.role !== "primary") return NOT_RUN;
    return lost.length > 0 ? BROKEN : HELD;
  } finally {
    await deployment.stop();
  }
});
