/** The store turns away the machine that has just ordered a promotion; the promoted instance drains, and must not get requests for longer than it said. */
import {
  BROKEN,
  Deployment,
  HELD,
  runCase,
  sleep,
  until,
} from "../lib-2/deployment.mjs";
import { Caller } from "../lib-2/caller.mjs";

/** How long the store turns the machine away, in ms; as in the site file. */
const TURNED_AWAY_MS = 7_000;
/** From the order to promote to its beginning, in ms; the promotion takes 1 s. */
const BEFORE_MS = 800;
/** The site's `drainMs`. */
const DRAIN_MS = 7_000;
const PRIMARY = "i-ledger-0";
const NEXT = "i-ledger-1";

await runCase(import.meta.dirname, async ({ record, troubled }) => {
  const deployment = await Deployment.start({
    hosts: 4,
    onEvent: (kind, fields) => record.write("group:", kind, fields),
    routes: [{ host: "booking", service: "ledger", kind: "primary" }],
  });
  const { store } = deployment;
  const group = deployment.groups.get("ledger");
  let drainedAt = Infinity;
  let turnedAway;
  store.onEvent = (kind, order) => {
    record.write("order to", kind, order);
    if (turnedAway) return;
    turnedAway = order.holder;
    group.drain(NEXT);
    drainedAt = performance.now();
    record.write("planned work:", NEXT, "drains");
    if (!troubled) return;
    const index = deployment.hosts.findIndex((host) =>
      host.name === turnedAway
    );
    setTimeout(() => {
      store.modes[index] = "busy";
      record.write("the store turns", turnedAway, "away");
    }, BEFORE_MS);
    setTimeout(() => {
      store.modes[index] = "up";
      record.write("the store serves", turnedAway, "again");
    }, BEFORE_MS + TURNED_AWAY_MS);
  };
  try {
    await sleep(3_000);
    group.drain(PRIMARY);
    record.write("planned work:", PRIMARY, "drains");
    await until(() => turnedAway, 10_000, "an order to promote");
    const late = [];
    let isDone = false;
    const calm = deployment.hosts.filter((host) => host.name !== turnedAway);
    const writers = Promise.all(calm.map(async (host) => {
      const caller = await Caller.open(host, "booking");
      for (let n = 0; !isDone; n += 1) {
        const id = `h${host.index}n${n}`;
        const answer = await caller.run(id, `WRITE item${n} booked`, 3_000);
        record.write("write", id, "->", answer.end, answer.detail);
        await sleep(20);
      }
    }));
    await sleep(13_000);
    isDone = true;
    await writers;
    for (const { id, instance, at } of group.ran) {
      const after = Math.round(at - drainedAt);
      if (instance === NEXT && after > DRAIN_MS) late.push(`${id} ${after} ms`);
    }
    record.write(
      "requests that reached",
      NEXT,
      "more than",
      DRAIN_MS,
      "ms after the store had acknowledged that it drains",
      late.length,
      late,
    );
    return late.length > 0 ? BROKEN : HELD;
  } finally {
    await deployment.stop();
  }
});
