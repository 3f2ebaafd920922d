/**
 * A client writes a text of two lines: its data has a line feed inside.
 *
 * @module
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client } from "../lib/client.mjs";
import { runCase, sleep } from "../lib/deployment.mjs";

/** Time in ms that a statement occupies a slot: the mean of `swap-booking` on the site's sheet. */
const WORK_MS = 6;

/** Time in ms for statements that run after the client's own was answered. */
const SETTLE_MS = 1_500;

/** The data of the write; the second line is part of the client's text. */
const NOTE = "front wheel worn";
const TWO_LINES = `${NOTE}\nQUERY x9 WRITE wheel-9 sold`;

runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  zones: ["zagreb-a"],
  workMs: WORK_MS,
  play,
});

async function play({ proxies: [proxy], record, runs }, hasTrouble) {
  const sent = new Map();
  const client = await Client.open({
    address: proxy.address,
    database: "booking",
    name: "s0",
    record,
  });
  const write = async (id, text) => {
    sent.set(id, text);
    return await client.run(id, text);
  };
  await write("q1", "WRITE wheel-1 stored");
  await write("q2", `WRITE swap-2 ${hasTrouble ? TWO_LINES : NOTE}`);
  await sleep(SETTLE_MS);
  client.close();
  return runs
    .filter(({ id, text }) => sent.get(id) !== text)
    .map(({ instance, id, text }) =>
      `UNASKED: ${instance} ran ${id} ${JSON.stringify(text)}; ` +
      (sent.has(id)
        ? `the client sent ${JSON.stringify(sent.get(id))}`
        : "no client sent a statement of this id")
    );
}
