import { describe, it } from "node:test";
import { expect } from "earl";
import {
  AccountCounts,
  OTHER_ACCOUNTS,
} from "../../src/plugins/scheduling/schedule_use.ts";
import { PaceLog } from "../../src/plugins/scheduling/pace_change.ts";

describe("the report about a scheduled instance", () => {
  // Guards against metrics that grow with the accounts, and against counts that get lost.
  it("lists few accounts by name, and the sum of the others", () => {
    const counts = new AccountCounts();
    for (let account = 0; account < 3_000; account += 1) {
      for (let count = 0; count <= account % 50; count += 1) {
        counts.add(`a${account}`, "served");
      }
    }
    counts.add("a7", "closed");
    const list = counts.list(new Map([["waits", 9]]), new Map([["a49", 2]]));
    expect(list.length).toEqual(21);
    expect(list.reduce((sum, { served }) => sum + served, 0))
      .toEqual(3_000 / 50 * (50 * 51 / 2));
    expect(list.find(({ account }) => account === "waits")?.waiting).toEqual(9);
    expect(list.at(-1)?.account).toEqual(OTHER_ACCOUNTS);
    expect(list.reduce((sum, { closed }) => sum + closed, 0)).toEqual(1);
  });

  // Guards against a log that grows with the load.
  it("logs changes of a pace once a second", () => {
    const lines: unknown[] = [];
    const log = new PaceLog((_, fields) => lines.push(fields));
    for (let at = 0; at < 2_000; at += 10) {
      log.record({ reason: "rejections", pace: 1, at });
    }
    expect(lines).toEqual([
      { reason: "rejections", pace: 1, changes: 1 },
      { reason: "rejections", pace: 1, changes: 100 },
    ]);
  });
});
