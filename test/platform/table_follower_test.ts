/**
 * Following a table whose rows cause exceptions.
 *
 * @module
 */
import { describe } from "node:test";
import { expect } from "earl";
import { StoreRetry } from "../../platform/store_retry.ts";
import { TableFollower } from "../../platform/table_follower.ts";
import { createEventLog } from "../../src/kernel/events.ts";
import { StoreGate } from "../../src/plugins/relay/store_gate.ts";
import { Rows } from "../../standins/metadata_store/rows.ts";
import { eventually } from "../support/eventually.ts";
import { MemoryStore } from "./fixtures/memory_store.ts";
import { itInVirtualTime as it } from "./fixtures/virtual_time.ts";

const TABLE = "marjoramshed";

describe("a followed table", () => {
  /** Follows the rows with a listener that throws for some keys and confirmations. */
  async function follow(
    failing: { readonly keys: readonly string[]; confirmations: number },
    work: (rows: Rows, seen: Map<string, string>) => Promise<void>,
  ): Promise<void> {
    const rows = new Rows();
    const seen = new Map<string, string>();
    const read = (key: string, value: Buffer | undefined) => {
      if (failing.keys.includes(key)) throw new Error(`bad ${key}`);
      seen.set(key, String(value));
    };
    const follower = new TableFollower({
      store: new MemoryStore(rows),
      table: TABLE,
      longPollTimeout: () => 20,
      pause: () => Promise.resolve(),
      maxAge: 1_000,
      gate: new StoreGate(),
      retry: new StoreRetry({ probeTable: TABLE, isRelay: () => true }),
      listener: {
        replaceAll: (all) => {
          for (const { key, value } of all) read(key, value);
        },
        change: ({ key, value }) => read(key, value),
        fingerprint: ({ key, value }) => {
          if (failing.keys.includes(key)) throw new Error(`bad ${key}`);
          return String(value);
        },
        confirmed: () => {
          if (failing.confirmations-- > 0) throw new Error("not now");
        },
      },
      log: createEventLog("silent", {}),
    });
    const running = follower.run();
    await work(rows, seen).finally(() => follower.stop());
    await running;
  }

  const put = (rows: Rows, key: string, text: string) =>
    rows.apply({
      puts: [{
        table: TABLE,
        key,
        value: Buffer.from(text).toString("base64"),
      }],
    });

  it("is followed further after a row that its listener cannot take", async () => {
    const failing = { keys: ["b"], confirmations: 0 };
    await follow(failing, async (rows, seen) => {
      put(rows, "a", "1");
      await eventually(() => seen.get("a") === "1", "a is seen", 2_000);
      put(rows, "b", "2");
      put(rows, "c", "3");
      await eventually(() => seen.get("c") === "3", "c is seen", 2_000);
      put(rows, "a", "4");
      await eventually(() => seen.get("a") === "4", "a is seen", 2_000);
      expect(seen.has("b")).toEqual(false);
    });
  });

  it("is followed further after a confirmation that its listener cannot take", async () => {
    const failing = { keys: [], confirmations: 2 };
    await follow(failing, async (rows, seen) => {
      put(rows, "a", "1");
      await eventually(() => seen.get("a") === "1", "a is seen", 2_000);
    });
  });
});
