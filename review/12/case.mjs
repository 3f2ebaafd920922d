// Where commits wait for a replica: an instance that has just been replaced is not asked for its
// log when the primary is lost, and acknowledged commits are missing at the promoted one.

import {
  Caller,
  configuration,
  now,
  runCase,
  sleep,
  until,
} from "../lib-3/standins.mjs";

const DRAIN_MS = 7_000;
/** For how long one replica receives nothing, in ms; the site's longest is 6,500. */
const DEAF_MS = 6_000;
/** How long before the other replica is replaced it begins to receive nothing, in ms. */
const DEAF_BEFORE_MS = 1_000;
/** When the primary goes dark after the replacement, in ms. */
const CRASH_AFTER_MS = 100;
/** Longest age of the machines' last reads of the list of instances at the replacement, in ms. */
const READ_AGE_MS = 250;

await runCase(
  import.meta.url,
  async ({ record, platform, group, addMachine, isTroubled }) => {
    group.syncReplicas = 1;
    platform.put("op", "config", configuration(2, { syncReplicas: 1 }));
    const machines = [
      await addMachine("client-zagreb-a-1"),
      await addMachine("client-split-a-1", { zone: "split-a" }),
    ];
    const readAt = new Map();
    platform.disrupt = ({ machine, query }) => {
      if (query.get("table") === "servers") readAt.set(machine, now());
    };
    await Promise.all(machines.map((machine) => machine.start()));
    const [primary, draining, other] = group.instances;
    const acknowledged = [];
    let isOver = false;
    const write = async (machine) => {
      for (let count = 0; !isOver; count += 1) {
        const caller = await Caller.open(machine.port, "booking").catch(() =>
          undefined
        );
        if (!caller) {
          await sleep(50);
          continue;
        }
        const id = `${machine.name}-${count}`;
        const answer = await caller.run(id, `WRITE ${id} parent-7`);
        const told = answer.signature ?? answer.error ?? "no answer";
        record.write(`client: ${id} "WRITE ${id} parent-7": ${told}`);
        if (answer.signature) acknowledged.push(id);
        caller.close();
        await sleep(30);
      }
    };
    const writers = machines.map(write);
    await sleep(1_000);
    // Planned work: a replica is replaced.
    draining.state = "draining";
    group.beat(draining);
    record.write(`group: ${draining.id} reports draining`);
    await sleep(DRAIN_MS);
    if (isTroubled) {
      other.isDeaf = true;
      record.write(`group: ${other.id} receives nothing`);
      setTimeout(() => {
        other.isDeaf = false;
        record.write(`group: ${other.id} receives again`);
      }, DEAF_MS);
    }
    await sleep(DEAF_BEFORE_MS);
    // It ends a little later than the drain takes; the time is the instance's to choose.
    await until(
      "the machines have read the list",
      3_500,
      () =>
        machines.every(({ name }) => now() - readAt.get(name) < READ_AGE_MS),
    ).catch(() => record.write("the machines' reads don't meet"));
    await group.replace(draining, "i-4");
    await sleep(CRASH_AFTER_MS);
    if (isTroubled) group.darken(primary);
    await sleep(14_000);
    isOver = true;
    await Promise.all(writers);
    const leader = group.primary;
    const log = new Set(
      leader.log.flatMap(({ writes }) => writes.map(({ id }) => id)),
    );
    const lost = acknowledged.filter((id) => !log.has(id));
    record.write(
      `${leader.id} leads term ${leader.term}; of ${acknowledged.length} acknowledged writes its log lacks ${lost.length}: ${
        lost.join(" ")
      }`,
    );
    const isPromoted = platform.promotions.length > 0;
    if (isTroubled && !isPromoted) throw new Error("nothing was promoted");
    if (lost.length === 0) return undefined;
    return `${lost.length} acknowledged writes are not in the log of ${leader.id}, which was promoted`;
  },
);
