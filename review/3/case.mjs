/**
 * A machine is partitioned from the primary for less than 3 s, while sessions on
 * it write and change a session value in turn.
 *
 * @module
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client } from "../lib/client.mjs";
import { runCase, sleep, ZONES } from "../lib/deployment.mjs";

/** Sessions, and the pause in ms between an answer and the next statement. */
const SESSIONS = 6;
const PAUSE_MS = 20;

/** Time in ms that a statement occupies a slot: the mean of `swap-booking` on the site's sheet. */
const WORK_MS = 6;

const CALM_MS = 4_000;

/** Length of the partition in ms; the instance drops the connections only after 3 s. */
const CUT_MS = 2_500;

runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  zones: ZONES,
  workMs: WORK_MS,
  play,
});

async function play({ group, proxies, record, runs }, hasTrouble) {
  const [cutOff] = proxies;
  const sessions = Array.from(
    { length: SESSIONS },
    (_, index) => new Session(`s${index}`, cutOff.address, record, runs),
  );
  const breaches = [];
  for (const session of sessions) {
    session.onChecked = (breach) => breaches.push(breach);
  }
  const used = sessions.map((session) => session.use());
  await sleep(CALM_MS);
  if (hasTrouble) {
    record.write(`${group.primary.id} is partitioned from ${cutOff.name}`);
    group.primary.door.setCut([cutOff.name]);
    await sleep(CUT_MS);
    record.write("the partition heals");
    for (const { door } of group.instances) door.setCut([]);
  } else {
    await sleep(CUT_MS);
  }
  await sleep(4_000);
  for (const session of sessions) session.isOver = true;
  await Promise.all(used);
  for (const session of sessions) session.check();
  return breaches;
}

/** One client's session: a write, then another value of `tenant`, then a write, and so on. */
class Session {
  isOver = false;
  onChecked = () => {};
  #name;
  #address;
  #record;
  #runs;
  /** Values of `tenant` that the proxy acknowledged, with the time of the acknowledgement. */
  #acknowledged = [];

  constructor(name, address, record, runs) {
    this.#name = name;
    this.#address = address;
    this.#record = record;
    this.#runs = runs;
  }

  async use() {
    const client = await Client.open({
      address: this.#address,
      database: "booking",
      name: this.#name,
      record: this.#record,
    });
    for (let count = 1; !this.isOver; count += 1) {
      const value = `t${count}`;
      const set = await client.run(
        `${this.#name}v${count}`,
        `SET tenant ${value}`,
      );
      // A client closes its session after an error in response to SET.
      if (!set || set.error) break;
      this.#acknowledged.push({ value, at: this.#record.now });
      const written = await client.run(
        `${this.#name}n${count}`,
        `WRITE swap-${this.#name} ${value}`,
      );
      if (!written || written.state !== "I") break;
      await sleep(PAUSE_MS);
    }
    client.close();
  }

  /** Reports the runs whose connection had another value than the one that was acknowledged last. */
  check() {
    for (const run of this.#runs) {
      if (!run.id.startsWith(`${this.#name}n`)) continue;
      const last = this.#acknowledged.findLast(({ at }) => at < run.at);
      const value = run.values.get("tenant");
      if (last === undefined || last.value === value) continue;
      const ranAt = Math.round(run.at);
      this.onChecked(
        `PINNED: ${run.id} ran at ${run.instance} at ${ranAt} ms with ` +
          `tenant=${value}; tenant=${last.value} was acknowledged at ` +
          `${Math.round(last.at)} ms`,
      );
    }
  }
}
