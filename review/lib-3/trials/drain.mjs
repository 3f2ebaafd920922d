// The first statement of a transaction reaches an instance that has drained for longer than drainMs.

import { Caller, now, runCase, sleep, until } from "../standins.mjs";

const DRAIN_MS = 7_000;
/** For how long the primary is cut off from its replicas, in ms; the site's longest is 7,000. */
const CUT_MS = 7_000;
/** How long before the drain the cut begins, in ms. */
const CUT_BEFORE_MS = 500;
/** Pause of each client between its BEGIN and its first statement, in ms; `txIdleMs` is 3,000. */
const PAUSE_MS = 2_800;
/** Longest age of the machines' last reads of the list of instances when the drain begins, in ms. */
const READ_AGE_MS = 400;
/** Time between two clients, in ms. */
const CLIENT_GAP_MS = 150;

await runCase(
  import.meta.url,
  async ({ record, platform, group, addMachine, isTroubled }) => {
    const machines = [
      await addMachine("client-zagreb-a-1"),
      await addMachine("client-split-a-1", { zone: "split-a" }),
    ];
    const readAt = new Map();
    platform.disrupt = ({ machine, query }) => {
      if (query.get("table") === "servers") readAt.set(machine, now());
    };
    await Promise.all(machines.map((machine) => machine.start()));
    const [primary, ...replicas] = group.instances;
    let isOver = false;
    const write = async (machine) => {
      for (let count = 0; !isOver; count += 1) {
        const caller = await Caller.open(machine.port, "booking");
        await caller.run(`${machine.name}-${count}`, `WRITE item${count} new`);
        caller.close();
        await sleep(50);
      }
    };
    const writers = machines.map(write);
    await sleep(1_000);
    if (isTroubled) {
      for (const replica of replicas) replica.isDeaf = true;
      record.write(`group: ${primary.id} is cut off from its replicas`);
      setTimeout(() => {
        for (const replica of replicas) replica.isDeaf = false;
        record.write("group: the cut heals");
      }, CUT_MS);
    }
    await sleep(CUT_BEFORE_MS);
    await until(
      "the machines have read the list",
      3_500,
      () =>
        machines.every(({ name }) => now() - readAt.get(name) < READ_AGE_MS),
    ).catch(() => record.write("the machines' reads don't meet"));
    primary.state = "draining";
    group.beat(primary);
    const drainingAt = now();
    record.write(`store: has acknowledged that ${primary.id} is draining`);
    const since = () => Math.round(now() - drainingAt);
    const told = new Map();
    const transact = async (machine, number) => {
      const id = `t${number}`;
      const caller = await Caller.open(machine.port, "booking");
      const begun = await caller.run(`${id}-begin`, "BEGIN");
      record.write(
        `client: ${id}-begin at ${since()} ms: ${begun.error ?? "T"}`,
      );
      await sleep(PAUSE_MS);
      const sentAt = since();
      const answer = await caller.run(id, `WRITE item-${id} parent-7`);
      const text = answer.isLost ? "lost" : (answer.error ?? answer.signature);
      record.write(`client: ${id} "WRITE" sent at ${sentAt} ms: ${text}`);
      told.set(id, text);
      if (!answer.error) await caller.run(`${id}-end`, "ROLLBACK");
      caller.close();
    };
    const transactions = [];
    for (let number = 0; since() < DRAIN_MS; number += 1) {
      transactions.push(transact(machines[number % machines.length], number));
      await sleep(CLIENT_GAP_MS);
    }
    await Promise.all(transactions);
    isOver = true;
    await Promise.all(writers);
    const late = group.ran.filter(({ id, instance, at }) =>
      instance === primary.id && told.has(id) && at - drainingAt > DRAIN_MS
    );
    for (const { id, at } of late) {
      record.write(
        `group: ${primary.id} ran ${id} ${
          Math.round(at - drainingAt)
        } ms after that`,
      );
    }
    if (late.length === 0) return undefined;
    const latest = Math.max(...late.map(({ at }) => at - drainingAt));
    return `${late.length} first statements of transactions were run by ${primary.id} later than ${DRAIN_MS} ms, the last ${
      Math.round(latest)
    } ms, after the store had acknowledged that it drains`;
  },
);
