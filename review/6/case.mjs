/** Machines are added while the store comes back from a copy; a planned change of primary must not leave a machine at the old primary. */
import {
  BROKEN,
  Deployment,
  HELD,
  runCase,
  sleep,
  until,
} from "../lib-2/deployment.mjs";
import { Caller } from "../lib-2/caller.mjs";

/** From the copy to the drill, in ms: the copy is some seconds old. */
const COPY_AGE_MS = 8_000;
/** How long the store is away, in ms: a moment. */
const AWAY_MS = 1_000;
const PRIMARY = "i-ledger-0";

await runCase(import.meta.dirname, async ({ record, troubled }) => {
  const deployment = await Deployment.start({
    hosts: 1,
    onEvent: (kind, fields) => record.write("group:", kind, fields),
    routes: [{ host: "booking", service: "ledger", kind: "primary" }],
  });
  const { store } = deployment;
  const group = deployment.groups.get("ledger");
  store.onEvent = (kind, order) => record.write("order to", kind, order);
  try {
    await sleep(1_000);
    const copy = store.copy();
    const early = await deployment.addHost();
    record.write("planned work: host", early.index, "is added and ready");
    await sleep(COPY_AGE_MS);
    if (troubled) {
      record.write("the store goes away at version", store.version);
      store.isAway = true;
      await sleep(AWAY_MS);
      store.restoreCopy(copy);
      store.isAway = false;
      record.write("and is back at version", store.version, "era", store.era);
    }
    const late = await deployment.addHost();
    record.write("planned work: host", late.index, "is added and ready");
    await sleep(500);
    const acknowledged = new Set();
    let isDone = false;
    const writers = Promise.all(deployment.hosts.map(async (host) => {
      let caller = await Caller.open(host, "booking");
      for (let n = 0; !isDone; n += 1) {
        const id = `h${host.index}n${n}`;
        const { end } = await caller.run(id, `WRITE item${n} booked`, 3_000);
        if (end === "COMPLETE") acknowledged.add(id);
        record.write("write", id, "->", end);
        if (end === "none") caller = await Caller.open(host, "booking");
        await sleep(20);
      }
    }));
    await sleep(1_000);
    record.write("planned work:", PRIMARY, "drains");
    group.drain(PRIMARY);
    await until(() => group.promoted.length > 0, 20_000, "a promotion");
    const oldLog = group.get(PRIMARY).log;
    await sleep(1_500);
    isDone = true;
    await writers;
    const { id, at } = group.promoted[0];
    const stale = oldLog.filter((entry) => entry.at > at)
      .flatMap(({ writes }) => writes.map((write) => write.id))
      .filter((one) => acknowledged.has(one));
    const held = new Set(
      group.get(id).log.flatMap(({ writes }) => writes.map((one) => one.id)),
    );
    const lost = [...acknowledged].filter((one) => !held.has(one));
    record.write("writes acknowledged", acknowledged.size);
    record.write("of these, not in the log of", id, lost.length, lost);
    record.write(
      `of these, committed at ${PRIMARY} after the promotion took effect`,
      stale.length,
      stale,
    );
    return stale.length > 0 ? BROKEN : HELD;
  } finally {
    await deployment.stop();
  }
});
