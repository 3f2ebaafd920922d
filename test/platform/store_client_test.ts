import { after, before, beforeEach, describe, it } from "node:test";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "earl";
import { StoreClient } from "../../platform/store_client.ts";
import { TableFollower } from "../../platform/table_follower.ts";
import { StoreRetry } from "../../platform/store_retry.ts";
import { clock } from "../../src/kernel/clock.ts";
import { createEventLog } from "../../src/kernel/events.ts";
import { joinEra } from "../../src/plugins/leadership/store_era.ts";
import { StoreGate } from "../../src/plugins/relay/store_gate.ts";
import { Rows } from "../../standins/metadata_store/rows.ts";
import {
  PLATFORM_LIMITS,
  StoreApi,
} from "../../standins/metadata_store/store_api.ts";
import { eventually } from "../support/eventually.ts";

const TABLE = "marjoramshed";
const PAGE_ROWS = 3;

async function readBody(request: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part);
  const text = Buffer.concat(parts).toString("utf8");
  return text === "" ? undefined : JSON.parse(text);
}

describe("the store's client", () => {
  let rows: Rows;
  let server: Server;
  let client: StoreClient;
  /** Called before each call is served. */
  let onCall: (path: string, count: number) => void;
  let calls = 0;

  const put = (key: string, value: string) =>
    rows.apply({
      puts: [{
        table: TABLE,
        key,
        value: Buffer.from(JSON.stringify(value)).toString("base64"),
      }],
    });

  before(async () => {
    server = createServer(async (request, response) => {
      calls += 1;
      onCall(request.url!, calls);
      const api = new StoreApi(rows, {
        ...PLATFORM_LIMITS,
        pageRows: PAGE_ROWS,
      });
      const url = new URL(request.url!, "http://store");
      const answer = await api.serve(url, await readBody(request));
      response.writeHead(answer!.status, answer!.headers);
      response.end(JSON.stringify(answer!.body));
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
  });
  beforeEach(() => {
    rows = new Rows();
    calls = 0;
    onCall = () => {};
    for (const key of ["a", "b", "c", "d", "e", "f", "g"]) put(key, "old");
    const { port } = server.address() as AddressInfo;
    client = new StoreClient(
      { host: "127.0.0.1", port },
      createEventLog("silent", {}),
    );
  });
  after(() => {
    server.closeAllConnections();
    server.close();
  });

  describe("a table of several pages", () => {
    it("is read whole, in the order of its keys", async () => {
      const reply = (await client.read(TABLE))._unsafeUnwrap();
      expect(reply.rows.map(({ key }) => key)).toEqual([..."abcdefg"]);
      expect(calls).toEqual(3);
    });

    it("has the version and the time of its first page", async () => {
      let secondAt = Infinity;
      onCall = (_, count) => {
        if (count !== 2) return;
        secondAt = clock.now();
        put("a", "new");
      };
      const reply = (await client.read(TABLE))._unsafeUnwrap();
      expect(reply.version).toEqual(joinEra(rows.era, 7));
      expect(reply.requestedAt < secondAt).toEqual(true);
    });

    it("is followed from there, so that a change between two pages is seen", async () => {
      onCall = (_, count) => {
        if (count !== 2) return;
        put("a", "new");
        rows.apply({ remove: [{ table: TABLE, key: "b" }] });
      };
      const values = new Map<string, string>();
      const follower = new TableFollower({
        store: client,
        table: TABLE,
        longPollTimeout: () => 50,
        pause: () => Promise.resolve(),
        maxAge: 1_000,
        gate: new StoreGate(),
        retry: new StoreRetry({ probeTable: TABLE, isRelay: () => true }),
        listener: {
          replaceAll: (all) => {
            for (const { key, value } of all) values.set(key, String(value));
          },
          change: ({ key, value }) => {
            if (value === undefined) values.delete(key);
            else values.set(key, String(value));
          },
          confirmed: () => {},
        },
        log: createEventLog("silent", {}),
      });
      const running = follower.run();
      await eventually(
        () => values.get("a") === '"new"' && !values.has("b"),
        "the change is seen",
        1_000,
      ).finally(() => follower.stop());
      await running;
    });
  });

  // Guards against a row of another part that is taken for the one with the same key.
  it("leaves out rows of other parts", async () => {
    const version = rows.version;
    rows.apply({ puts: [{ table: TABLE, part: "p", key: "a", value: "" }] });
    rows.apply({ remove: [{ table: TABLE, part: "p", key: "a" }] });
    rows.apply({ puts: [{ table: TABLE, part: "p", key: "b", value: "" }] });
    const changes = (await client.feed(TABLE, version, 0))._unsafeUnwrap();
    expect(changes.rows).toEqual([]);
    expect(changes.version).toEqual(joinEra(rows.era, version + 3));
    const all = (await client.read(TABLE))._unsafeUnwrap();
    expect(all.rows.map(({ key }) => key)).toEqual([..."abcdefg"]);
  });

  it("reports a transaction over the limit of entries as refused", async () => {
    const puts = Object.fromEntries(
      Array.from({ length: 101 }, (_, index) => [`k${index}`, index]),
    );
    const written = await client.write({ table: TABLE, puts });
    expect(written._unsafeUnwrapErr().kind).toEqual("refused");
    expect(rows.version).toEqual(7);
  });

  it("reports history that is gone as compacted", async () => {
    rows.forget();
    const reply = await client.feed(TABLE, 1, 0);
    expect(reply._unsafeUnwrapErr().kind).toEqual("compacted");
  });
});
