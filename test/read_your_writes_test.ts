/**
 * Every session reads its own writes, also after it has moved to another proxy,
 * across a change of primary, and with replicas that lag far behind.
 *
 * @module
 */
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "earl";
import type pg from "pg";
import { createDeployment, type Deployment } from "./support/deployment.ts";
import { eventually } from "./support/eventually.ts";
import { insertBooking } from "./support/outcome.ts";

const LAG_MS = 2_000;
/** Longer than the time for which a named session's position is considered known. */
const IDLE_MS = 50;

describe("reading one's own writes", () => {
  let deployment: Deployment;
  let writeCount = 0;

  before(async () => {
    deployment = await createDeployment();
  });
  afterEach(async () => {
    for (const name of deployment.instances) {
      if (!deployment.stack.process(name).running) continue;
      deployment.stack.process(name).resume();
      await deployment.setLag(name, 0, 0);
    }
    await deployment.heal();
  });
  after(async () => {
    await deployment?.stack.stop();
  });

  /** Retries a booking until it is acknowledged, with a new text for each attempt. */
  async function write(client: pg.Client): Promise<string> {
    let text = "";
    await eventually(async () => {
      writeCount += 1;
      text = `own-${writeCount}`;
      return (await insertBooking(client, text)).outcome === "acknowledged";
    }, "a write is acknowledged");
    return text;
  }

  /** Whether a read returns the text; a refused read is no violation and is retried. */
  async function canRead(
    client: pg.Client,
    text: string,
    comment = "",
  ): Promise<boolean> {
    let seen = false;
    await eventually(async () => {
      const result = await client.query(
        `${comment}SELECT booking FROM bookings WHERE booking = $1`,
        [text],
      ).catch(() => undefined);
      seen = result?.rowCount === 1;
      return result !== undefined;
    }, "a read is answered");
    return seen;
  }

  async function token(client: pg.Client): Promise<string> {
    const result = await client.query("SHOW marjoramshed.position");
    return result.rows[0]["marjoramshed.position"];
  }

  /** Writes through the given connection and reads through each running proxy, without and with the token. */
  async function expectReadableEverywhere(client: pg.Client): Promise<void> {
    const text = await write(client);
    const position = await token(client);
    for (const proxy of deployment.proxies) {
      if (!deployment.stack.process(proxy).running) continue;
      for (const options of ["", `-c marjoramshed.position=${position}`]) {
        const moved = await deployment.connect(proxy, { options });
        expect([proxy, options, await canRead(moved, text)])
          .toEqual([proxy, options, true]);
        await moved.end();
      }
    }
  }

  it("holds with one replica frozen and the other lagging", async () => {
    const client = await deployment.connect(deployment.proxies[0]!);
    await write(client);
    const [frozen, lagging] = await deployment.replicas();
    await deployment.setLag(lagging!, 0, LAG_MS);
    deployment.stack.process(frozen!).suspend();
    for (let round = 0; round < 3; round += 1) {
      await expectReadableEverywhere(client);
      expect(await canRead(client, await write(client))).toEqual(true);
    }
    deployment.stack.process(frozen!).resume();
    await expectReadableEverywhere(client);
    await client.end();
  });

  it("holds immediately after the session's proxy was killed", async () => {
    const proxy = deployment.proxies[1]!;
    for (const name of await deployment.replicas()) {
      await deployment.setLag(name, 0, LAG_MS);
    }
    const client = await deployment.connect(proxy);
    const text = await write(client);
    const position = await token(client);
    await deployment.stack.process(proxy).kill();
    for (const options of ["", `-c marjoramshed.position=${position}`]) {
      const moved = await deployment.connect(deployment.proxies[2]!, {
        options,
      });
      expect(await canRead(moved, text)).toEqual(true);
      await moved.end();
    }
  });

  it("holds after the primary was killed", async () => {
    const clients = await Promise.all(
      deployment.proxies.map((proxy) => deployment.connect(proxy)),
    );
    const text = await write(clients[0]!);
    const position = await token(clients[0]!);
    const primary = await deployment.primary();
    await deployment.stack.killInstance(primary);
    for (const client of clients) {
      expect(await canRead(client, text)).toEqual(true);
    }
    const moved = await deployment.connect(deployment.proxies[3]!, {
      options: `-c marjoramshed.position=${position}`,
    });
    expect(await canRead(moved, text)).toEqual(true);
    await expectReadableEverywhere(clients[0]!);
    for (const client of [moved, ...clients]) await client.end();
  });

  it("holds for readers in the zone of an isolated primary", async () => {
    const old = await deployment.primary();
    const zone = deployment.zoneOf(old);
    const insideProxy = deployment.proxies.find((proxy) =>
      deployment.zoneOf(proxy) === zone
    )!;
    const outsideProxy = deployment.proxies.find((proxy) =>
      deployment.zoneOf(proxy) !== zone
    )!;
    const insideClient = await deployment.connect(insideProxy, {
      name: "tablet",
    });
    const client = await deployment.connect(outsideProxy, { name: "tablet" });
    expect(await canRead(insideClient, await write(insideClient))).toEqual(
      true,
    );
    await deployment.isolateZone(zone);
    await deployment.waitForNewPrimary(old);
    const text = await write(client);
    const stale = await insideClient.query(
      "SELECT booking FROM bookings WHERE booking = $1",
      [text],
    ).then((result) => result.rowCount === 0, () => false);
    expect(stale).toEqual(false);
    await deployment.stack.setNetworkFaults([]);
    expect(await canRead(insideClient, text)).toEqual(true);
    await insideClient.end();
    await client.end();
  });

  describe("on a named connection left open on the old proxy", () => {
    async function connectPair(): Promise<readonly [pg.Client, pg.Client]> {
      const name = `tablet-${writeCount}`;
      const [first, second] = deployment.proxies;
      return [
        await deployment.connect(first!, { name }),
        await deployment.connect(second!, { name }),
      ];
    }

    it("holds when it is used again later", async () => {
      for (const name of await deployment.replicas()) {
        await deployment.setLag(name, 0, LAG_MS);
      }
      const [old, moved] = await connectPair();
      for (let round = 0; round < 5; round += 1) {
        await canRead(old, "nothing");
        await delay(IDLE_MS);
        const text = await write(moved);
        expect(await canRead(old, text)).toEqual(true);
      }
      await old.end();
      await moved.end();
    });

    it("holds with a token that is older than the connection's own write", async () => {
      const [old, moved] = await connectPair();
      await write(moved);
      const position = await token(moved);
      for (const name of await deployment.replicas()) {
        await deployment.setLag(name, 0, LAG_MS);
      }
      const text = await write(old);
      await delay(IDLE_MS);
      const comment = `/* marjoramshed position=${position} */ `;
      expect(await canRead(old, text, comment)).toEqual(true);
      await old.end();
      await moved.end();
    });
  });

  it("holds with a token that is in no instance's history", async () => {
    const client = await deployment.connect(deployment.proxies[0]!);
    const text = await write(client);
    for (const name of await deployment.replicas()) {
      await deployment.setLag(name, 0, LAG_MS);
    }
    for (const position of ["0/99999999999", "1/99999999999", "999/1"]) {
      const moved = await deployment.connect(deployment.proxies[1]!, {
        options: `-c marjoramshed.position=${position}`,
      });
      expect([position, await canRead(moved, text)]).toEqual([position, true]);
      const own = await write(moved);
      expect([position, await canRead(moved, own)]).toEqual([position, true]);
      await moved.end();
    }
    await client.end();
  });
});
