import { expect } from "earl";
import { describe, it } from "node:test";
import {
  AccountDirectory,
  type AccountEntry,
} from "../src/plugins/accounts/accounts.ts";
import { CallerIdentity } from "../src/plugins/accounts/caller_identity.ts";
import { parseConfiguration } from "../platform/documents.ts";

const PRIVATE = { isPublic: false };

function entry(name: string, ...keys: readonly string[]): AccountEntry {
  return { name, keys, limit: { rate: 10, burst: 10 } };
}

/** Name of the account that a key is accepted for, or the code of the refusal. */
function accountOf(
  accounts: AccountDirectory | undefined,
  key: string | undefined,
  route = PRIVATE,
): string | number | undefined {
  return new CallerIdentity(key).resolve({ accounts }, route).match(
    (account) => account?.name,
    (failure) => failure.code.number,
  );
}

describe("a caller's key", () => {
  const accounts = new AccountDirectory([
    entry("north", "k1", "k 2 \u00e9"),
    entry("south", "k3"),
  ]);

  it("gives the account that has it", () => {
    expect(accountOf(accounts, "k1")).toEqual("north");
    expect(accountOf(accounts, "k 2 \u00e9")).toEqual("north");
    expect(accountOf(accounts, "k3")).toEqual("south");
  });

  it("is refused if it is unknown, empty or not text", () => {
    for (const key of ["k", "k1 ", "north", "", undefined, "__proto__"]) {
      expect(accountOf(accounts, key)).toEqual(417);
    }
  });

  it("is not needed on a public route, and counts for no account there", () => {
    expect(accountOf(accounts, "k1", { isPublic: true })).toEqual(undefined);
    expect(accountOf(accounts, "k", { isPublic: true })).toEqual(undefined);
  });

  it("is not needed where the configuration knows no accounts", () => {
    expect(accountOf(undefined, "k")).toEqual(undefined);
  });

  it("is refused by every later version without it", () => {
    const identity = new CallerIdentity("k1");
    const later = new AccountDirectory([entry("north", "k9")]);
    expect(identity.resolve({ accounts }, PRIVATE).isOk()).toEqual(true);
    expect(identity.resolve({ accounts: later }, PRIVATE).isErr())
      .toEqual(true);
  });

  // Guards against work that runs for whichever account was listed last.
  it("that two accounts have admits nobody", () => {
    const shared = new AccountDirectory([
      entry("north", "k1", "k2"),
      entry("south", "k2"),
    ]);
    expect(accountOf(shared, "k1")).toEqual("north");
    expect(accountOf(shared, "k2")).toEqual(417);
    expect(shared.findings.map(({ account, problem }) => account + problem))
      .toEqual(["northshared key", "southshared key"]);
  });
});

describe("accounts of a configuration", () => {
  function parse(tenants: unknown) {
    const value = { version: 1, routes: [], services: [], tenants };
    return parseConfiguration({
      table: "op",
      key: "config",
      value: Buffer.from(JSON.stringify(value)),
      version: 1,
    })._unsafeUnwrap().accounts;
  }

  it("need not exist", () => {
    expect(parse(undefined)).toEqual(undefined);
  });

  it("allow nothing where a limit is no amount, and anything without a rate", () => {
    const limits = [
      { ratePerS: 5 },
      { ratePerS: 5, burst: 0 },
      { ratePerS: -5, burst: 5 },
      { ratePerS: "5", burst: "many" },
      { burst: 5 },
    ];
    const accounts = parse(
      limits.map((limit, index) => ({ name: `a${index}`, ...limit })),
    )!;
    expect(accounts.all().map(({ limit }) => limit)).toEqual([
      { rate: 5, burst: 5 },
      { rate: 5, burst: 0 },
      { rate: 0, burst: 5 },
      { rate: 0, burst: 0 },
      undefined,
    ]);
  });

  // Guards against a wrong entry that keeps the withdrawal of other keys from taking effect.
  it("are used one by one: a wrong entry leaves the others", () => {
    const accounts = parse([
      null,
      { name: "two words", apiKeys: ["k1"] },
      { name: "north", apiKeys: ["k2", 7, ""] },
      { name: "north", apiKeys: ["k3"] },
      { name: "south" },
    ])!;
    expect(accountOf(accounts, "k1")).toEqual(417);
    expect(accountOf(accounts, "k2")).toEqual("north");
    expect(accountOf(accounts, "k3")).toEqual(417);
    expect(accountOf(accounts, "")).toEqual(417);
    expect(accounts.findings.map(({ problem }) => problem)).toEqual([
      "invalid entry",
      "invalid entry",
      "duplicate name",
      "no keys",
    ]);
  });
});
