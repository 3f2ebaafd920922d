import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { parse as parseYaml, stringify } from "yaml";
import { parseConfiguration } from "../platform/documents.ts";
import { checkDocument } from "../src/plugins/check/check_document.ts";
import { checkRoutes } from "../src/plugins/check/check_routes.ts";
import type { Report } from "../src/plugins/check/finding.ts";
import { splitBudget } from "../src/plugins/connections/budget.ts";
import { diffDocuments } from "../src/plugins/document/diff_documents.ts";
import { parseDocument } from "../src/plugins/document/parse_document.ts";
import { sampleDocument } from "./fixtures/sample_document.ts";

const CURRENT = parseDocument(sampleDocument())._unsafeUnwrap();

/** Time that a check may take on a busy machine, in ms. */
const CHECK_LIMIT_MS = 20_000;

const STRANGE = fc.oneof(
  fc.constantFrom("__proto__", "constructor", "toString", "<<", "*a", "&a b"),
  fc.constantFrom(1e308, -0, 2 ** 53, Infinity, -Infinity, NaN, null),
  fc.constantFrom("0ms", "9999999h", "booking", "zagreb-a", "127.0.0.1"),
  fc.anything({ maxDepth: 3, key: fc.constantFrom("name", "__proto__", "a") }),
  fc.string({ unit: "binary" }),
);

function codesOf({ findings }: Report): readonly string[] {
  return findings.map(({ kind }) => kind.code);
}

function isReport({ findings }: Report): boolean {
  return findings.every(({ line, path, text }) =>
    Number.isInteger(line) && !/\p{Cc}/u.test(path + text)
  );
}

/** Replaces or adds own parts of a value at places that numbers choose. */
function mutate(root: object, edits: readonly (readonly [number, unknown])[]) {
  for (const [place, value] of edits) {
    let part = root;
    let rest = place;
    for (;;) {
      const keys = [...Object.keys(part), "added", "__proto__"];
      const key = keys[rest % keys.length]!;
      rest = Math.floor(rest / keys.length);
      const next = Object.getOwnPropertyDescriptor(part, key)?.value;
      if (rest === 0 || typeof next !== "object" || next === null) {
        const flags = { enumerable: true, configurable: true, writable: true };
        Object.defineProperty(part, key, { value, ...flags });
        break;
      }
      part = next;
    }
  }
  return root;
}

const EDITS = fc.array(fc.tuple(fc.nat(), STRANGE), { maxLength: 4 });

function toText(value: unknown): string {
  try {
    return stringify(value) ?? "";
  } catch {
    // Some values, such as a symbol, have no YAML.
    return String(Object(value));
  }
}

describe("check of a document", () => {
  // Guards against a process that ends, and a script that takes that for a result.
  describe("gives a report", () => {
    it("for any bytes", () => {
      fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
        const text = Buffer.from(bytes).toString("utf8");
        expect(isReport(checkDocument(text, { current: CURRENT })))
          .toEqual(true);
      }));
    });

    it("for any YAML and any sequence of its marks", () => {
      const marks = fc.constantFrom(
        ..."[]{}:,-?&*!|>'\"%@`#~\n\t ab",
        ...["---\n", "...\n", "<<: ", "&a ", "*a ", "!!set ", "%YAML 1.1\n"],
      );
      const texts = fc.oneof(
        fc.array(marks, { maxLength: 200 }).map((parts) => parts.join("")),
        fc.anything().map(toText),
      );
      fc.assert(fc.property(texts, (text) => {
        expect(isReport(checkDocument(text, { current: CURRENT })))
          .toEqual(true);
      }));
    });

    it("for a document with strange parts", () => {
      fc.assert(fc.property(EDITS, (edits) => {
        const text = toText(mutate(parseYaml(sampleDocument()), edits));
        expect(isReport(checkDocument(text, { current: CURRENT })))
          .toEqual(true);
      }));
    });

    it("for a configuration with strange parts", () => {
      const configuration = {
        version: 1,
        routes: [{ host: "a", service: "g", kind: "primary", timeoutMs: 800 }],
        services: [{ name: "g", maxConnections: 20 }],
        tenants: [{ name: "n", apiKeys: ["k"], ratePerS: 5, burst: 5 }],
      };
      const read = (value: unknown) =>
        parseConfiguration({
          table: "op",
          key: "config",
          value: Buffer.from(JSON.stringify(value) ?? ""),
          version: 1,
        });
      const current = read(configuration)._unsafeUnwrap();
      fc.assert(fc.property(EDITS, (edits) => {
        const table = read(mutate(structuredClone(configuration), edits));
        if (table.isErr()) return;
        const report = checkRoutes(table.value, { current, hosts: 3 });
        expect(isReport(report)).toEqual(true);
      }));
    });

    it("for the largest documents, in time", () => {
      const kinds = Array.from(
        { length: 8_000 },
        (_, index) =>
          `{name: k${index}, maxAge: 1ms, tables: [t${index % 90}, u${index}]}`,
      );
      const proxies = Array.from(
        { length: 12_000 },
        (_, index) => `{name: p${index}, zone: zagreb-a}`,
      );
      const text = sampleDocument()
        .replace(/kinds:\n.*\n.*\n.*\n/, `kinds: [${kinds.join(", ")}]\n`)
        .replace(
          "- { name: proxy-1",
          `- ${proxies.join("\n      - ")}\n      $&`,
        );
      const startedAt = performance.now();
      const report = checkDocument(text, { current: CURRENT });
      expect(performance.now() - startedAt < CHECK_LIMIT_MS).toEqual(true);
      expect(report.findings.length).toEqual(1_000);
      expect(report.omitted > 7_000).toEqual(true);
    });
  });

  // Guards against a difference that an operator doesn't see.
  it("describes every difference from the document in force", () => {
    const replacements = fc.subarray([
      ["maxAge: 2s", "maxAge: 1s"],
      ["databases: [booking]", "databases: [booking]\n    quota: {rate: 5}"],
      ["zone: split-a }", "zone: zagreb-a }"],
      ["port: 5433", "port: 5434"],
      ["tables: [shelf]", "tables: [shelf, wheel]"],
      ["name: stock-lookup", "name: lookup"],
      ["connectionsPerInstance: 20", "connectionsPerInstance: 19"],
      ["$AAAA\n", "$BBBB\n"],
      ["service: swap-ledger", "service: other"],
    ]);
    fc.assert(fc.property(replacements, (chosen) => {
      const text = chosen.reduce(
        (before, [from, to]) => before.replace(from!, to!),
        sampleDocument(),
      );
      const after = parseDocument(text)._unsafeUnwrap();
      const roots = diffDocuments(CURRENT, after).map(({ path }) => path);
      const report = checkDocument(text, { current: CURRENT });
      const places = report.findings
        .filter(({ kind }) => kind.code.startsWith("F4"))
        .map(({ path }) => path);
      expect(roots.filter((path) => !places.some((p) => path.startsWith(p))))
        .toEqual([]);
      expect(places.filter((p) => !roots.some((path) => path.startsWith(p))))
        .toEqual([]);
    }));
  });

  it("looks only at the environment that a document is meant for", () => {
    const text = sampleDocument().replaceAll("proxy-2", "proxy-3")
      .replace("connectionsPerInstance: 20", "connectionsPerInstance: 2");
    const check = (environment: string) =>
      checkDocument(text, { current: CURRENT, environment });
    expect(codesOf(check("trial"))).toEqual(["F304", "F403", "F410"]);
    expect(codesOf(check("production"))).toEqual(["F410"]);
  });

  it("shows neither hashes of passwords nor keys nor their digests", () => {
    const text = sampleDocument().replace("$AAAA\n", "$BBBB\n")
      .replace("- name: app", "- name: other");
    const report = JSON.stringify(checkDocument(text, { current: CURRENT }));
    expect(/scrypt|AAAA|BBBB/.test(report)).toEqual(false);
    const read = (apiKeys: readonly string[]) =>
      parseConfiguration({
        table: "op",
        key: "config",
        value: Buffer.from(JSON.stringify({
          ...{ version: 1, routes: [], services: [] },
          tenants: [{ name: "n", apiKeys }, { name: "m", apiKeys: ["k1"] }],
        })),
        version: 1,
      })._unsafeUnwrap();
    const current = read(["k1", "k2", "k3"]);
    const findings = checkRoutes(read(["k1", "k4"]), { current }).findings;
    expect(findings.map(({ path, text }) => `${path}: ${text}`)).toEqual([
      "accounts[n]: the account n has a key that another account has too; the key admits nobody",
      "accounts[m]: the account m has a key that another account has too; the key admits nobody",
      "accounts[n].keys: keys of n that end: 2 of 2",
      "accounts[n].keys: keys of n that are added: 1",
    ]);
  });

  // Guards against a rule that is left behind when the shares are computed otherwise.
  it("counts the proxies without connections as the pools do", () => {
    fc.assert(fc.property(
      fc.integer({ min: 1, max: 30 }),
      fc.integer({ min: 1, max: 60 }),
      (proxyCount, limit) => {
        const names = Array.from({ length: proxyCount }, (_, i) => `p${i}`);
        const demands = names.map((proxy) => ({ proxy, wanted: 1 }));
        const place = { database: "booking", instance: "booking-1" };
        const shares = splitBudget({ ...place, limit, demands });
        const served = [...shares.values()].filter((n) => n > 0).length;
        const value = parseYaml(sampleDocument());
        value.environments.trial.proxies = names
          .map((name) => ({ name, zone: "zagreb-a" }));
        value.environments.trial.groups[0].connectionsPerInstance = limit;
        const { findings } = checkDocument(stringify(value));
        const texts = findings.filter(({ kind }) => kind.code === "F304")
          .map(({ text }) => /serve \d+ of the \d+ proxies/.exec(text)?.[0]);
        const expected = `serve ${served} of the ${proxyCount} proxies`;
        expect(texts).toEqual(served < proxyCount ? [expected] : []);
      },
    ));
  });
});
