/**
 * Entries of another writer among those of the instances. They name no instance
 * to use, and the others hold.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { parseConfiguration, parseInstance } from "../../platform/documents.ts";
import { eventually } from "../support/eventually.ts";
import { Deployment } from "./fixtures/deployment.ts";

const ENTRY = {
  service: "ledger",
  address: "127.0.0.1:9",
  zone: "zagreb-a",
  version: "v1",
  capacity: 3,
  state: "ready",
  coldRemainingMs: 0,
  dbRole: "primary",
  born: 1,
  sequence: 1,
};

/** Levels of nesting that fit into a row. */
const DEPTH = 30_000;
const NESTED = "[".repeat(DEPTH) + "]".repeat(DEPTH);

/** An entry in which one field has another value, given as JSON text. */
function withField(name: string, value: string): string {
  const { [name]: _, ...rest } = ENTRY as Record<string, unknown>;
  return `{"${name}":${value},${JSON.stringify(rest).slice(1)}`;
}

/** Odd entries by what is odd about them: the row's key and its content. */
const ODD: Readonly<Record<string, readonly [string, string]>> = {
  "nested deeply": ["odd-nested", NESTED],
  "nested deeply in an unknown field": ["odd-more", withField("more", NESTED)],
  ...Object.fromEntries(
    Object.keys(ENTRY).flatMap((name) => [
      [`with a nested ${name}`, [
        `odd-nested-${name}`,
        withField(name, NESTED),
      ]],
      [`with ${name} too large`, [
        `odd-large-${name}`,
        withField(name, "1e999"),
      ]],
    ]),
  ),
  "started at no whole number": ["odd-born", withField("born", "1.5")],
  "started beyond all times": ["odd-beyond", withField("born", "1e300")],
  "with port 70000": ["odd-port", withField("address", '"127.0.0.1:70000"')],
  "with port 0": ["odd-zero", withField("address", '"127.0.0.1:0"')],
  "with a port of many digits": [
    "odd-digits",
    withField("address", `"127.0.0.1:${"9".repeat(400)}"`),
  ],
  "with a negative port": ["odd-minus", withField("address", '"127.0.0.1:-1"')],
  "with a line ending in its service": [
    "odd-service",
    withField("service", '"ledger p i\\r\\nQUERY x WRITE a b"'),
  ],
  "with a blank in its id": ["odd id", JSON.stringify(ENTRY)],
  "with a line ending in its id": [
    "odd\r\nQUERY x WRITE a b",
    JSON.stringify(ENTRY),
  ],
  "of unreadable bytes": ["odd-bytes", "\u0000\u00ff{"],
};

function rowOf([key, value]: readonly [string, string]) {
  return { table: "servers", key, value: Buffer.from(value), version: 1 };
}

// Guards against one odd entry that ends the process or the following of the list, or is used.
describe("an odd entry among those of the instances", () => {
  for (const [name, entry] of Object.entries(ODD)) {
    // A field that the program does not know may hold anything.
    if (name.includes("unknown field")) continue;
    it(`${name} names no instance`, () => {
      expect(parseInstance(rowOf(entry)).isErr()).toEqual(true);
    });
  }

  it("in an unknown field does not matter", () => {
    const entry = ODD["nested deeply in an unknown field"]!;
    expect(parseInstance(rowOf(entry)).isOk()).toEqual(true);
  });

  describe("of a running deployment", () => {
    let deployment: Deployment;
    before(async () => {
      deployment = await Deployment.start();
    });
    after(() => deployment.stop());

    it("changes nothing: hosts serve, follow the list and start again", async () => {
      for (const [name, [key, value]] of Object.entries(ODD)) {
        if (name.includes("unknown field")) continue;
        await deployment.put("servers", key, value);
      }
      const [first] = deployment.hosts;
      await eventually(() =>
        deployment.hosts.every(({ log }) =>
          log.filter(({ event }) => event === 310).length >= 10
        )
      );
      await first!.kill();
      await first!.start();
      await eventually(async () => await first!.ready() === 200);
      const caller = await deployment.open(0, "booking");
      expect((await caller.run("WRITE odd x")).error).toEqual(undefined);
      await deployment.order("leave", "i-ledger-0");
      await eventually(async () =>
        (await deployment.members())[0]!.role === "replica"
      );
      await eventually(async () =>
        (await caller.run("WRITE odd y")).error === undefined
      );
      caller.close();
      const unexpected = deployment.hosts.flatMap(({ log }) => log)
        .filter(({ event }) => event === 106);
      expect(unexpected).toEqual([]);
    });
  });
});

describe("a configuration with times beyond all timers", () => {
  it("limits them to what a timer can wait", () => {
    const value = JSON.stringify({
      version: 1,
      routes: [{
        host: "booking",
        service: "ledger",
        kind: "primary",
        timeoutMs: 1e15,
        targetLatencyMs: 1e15,
      }],
      services: [],
      limits: { txIdleMs: 1e15, headerTimeoutMs: 1e15 },
    });
    const table = parseConfiguration(rowOf(["config", value]))._unsafeUnwrap();
    const route = table.routes.get("booking")!;
    for (
      const time of [
        route.statementTimeout,
        route.targetLatency,
        table.transactionIdleTimeout,
        table.startupTimeout,
      ]
    ) expect(time < 2 ** 31).toEqual(true);
  });
});
