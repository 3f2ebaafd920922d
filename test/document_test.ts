import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { stringify } from "yaml";
import type { Document } from "../src/plugins/document/document.ts";
import { diffDocuments } from "../src/plugins/document/diff_documents.ts";
import {
  formatPath,
  parseDocument,
  type Problem,
  validateDocument,
} from "../src/plugins/document/parse_document.ts";
import {
  hashPassword,
  verifyPassword,
} from "../src/plugins/document/password.ts";
import { sampleDocument, sampleValue } from "./fixtures/sample_document.ts";

function problemsOf(text: string): readonly Problem[] {
  return validateDocument(text)._unsafeUnwrapErr();
}

function parse(value: unknown): Document {
  return parseDocument(stringify(value))._unsafeUnwrap();
}

describe("document", () => {
  describe("validation", () => {
    it("fills in defaults and turns durations into ms", () => {
      const document = parseDocument(sampleDocument())._unsafeUnwrap();
      const group = document.environments["trial"]!.groups[0]!;
      expect(group.reads.maxAge).toEqual(10_000);
      expect(group.reads.kinds[0]!.maxAge).toEqual(2_000);
      expect(group.writes.acknowledge).toEqual("majority");
    });

    it("names path, line, expected and found of a wrong value", () => {
      const text = sampleDocument().replace("maxAge: 2s", "maxAge: soon");
      const [problem] = problemsOf(text);
      expect(problem?.path).toEqual(
        "environments.trial.groups[0].reads.kinds[0].maxAge",
      );
      expect(problem?.expected).toEqual(
        "a duration such as 250ms, 2s, 5m or 24h",
      );
      expect(problem?.found).toEqual('"soon"');
      expect(text.split("\n")[problem!.line - 1]).toEqual(
        expect.includes("soon"),
      );
    });

    it("refuses an unknown key with its path and the nearest known key", () => {
      const text = sampleDocument().replace("maxAge: 2s", "maxAgee: 2s");
      const unknown = problemsOf(text).find((one) => one.hint);
      expect(unknown?.path).toEqual(
        "environments.trial.groups[0].reads.kinds[0].maxAgee",
      );
      expect(unknown?.hint).toEqual("did you mean maxAge?");
    });

    it("refuses a repeated account and a database that no group describes", () => {
      const value = sampleValue();
      const account = value.accounts[0]!;
      const accounts = [account, { ...account, databases: ["nowhere"] }];
      const paths = problemsOf(stringify({ ...value, accounts }))
        .map((problem) => problem.path);
      expect(paths).toEqual(["accounts[1]", "accounts[1].databases[0]"]);
    });

    it("refuses text that is not YAML, repeated keys and aliases without bound", () => {
      const bomb = ["a: &a [x,x,x,x,x,x,x,x,x,x]"];
      for (let index = 1; index < 9; index += 1) {
        const before = String.fromCharCode(96 + index);
        const name = String.fromCharCode(97 + index);
        bomb.push(`${name}: &${name} [${`*${before},`.repeat(10)}]`);
      }
      for (const text of ["a: [", "service: a\nservice: b", bomb.join("\n")]) {
        expect(problemsOf(text)[0]?.expected).toEqual("YAML");
      }
    });

    it("answers any text with a document or a list of problems", () => {
      fc.assert(fc.property(fc.string(), (text) => {
        expect(validateDocument(text).isErr()).toEqual(true);
      }));
    });

    it("names the path of any value of a wrong type put anywhere", () => {
      const places = leafPaths(sampleValue());
      fc.assert(fc.property(fc.constantFrom(...places), (path) => {
        const broken = replaceAt(sampleValue(), path, { wrong: true });
        const found = problemsOf(stringify(broken)).map((one) => one.path);
        expect(found.includes(formatPath(path))).toEqual(true);
      }));
    });
  });

  describe("diff", () => {
    it("is empty between a document and itself", () => {
      const document = parse(sampleValue());
      expect(diffDocuments(document, document)).toEqual([]);
    });

    it("names changed, added and removed parts by path", () => {
      const before = parse(sampleValue());
      const text = sampleDocument().replace("maxAge: 2s", "maxAge: 3s")
        .replaceAll("proxy-2", "proxy-3");
      const after = parseDocument(text)._unsafeUnwrap();
      const paths = diffDocuments(before, after).map((change) => change.path);
      expect(paths).toEqual([
        "environments.trial.proxies[proxy-2]",
        "environments.trial.proxies[proxy-3]",
        "environments.trial.groups[booking].reads.kinds[stock-lookup].maxAge",
        "environments.production.proxies[proxy-2]",
        "environments.production.proxies[proxy-3]",
      ]);
    });

    it("hides hashes of passwords", () => {
      const document = parse(sampleValue());
      const changes = JSON.stringify(diffDocuments(undefined, document));
      expect(changes.includes("scrypt$")).toEqual(false);
    });
  });

  describe("password", () => {
    it("matches its own hash only", async () => {
      const hash = await hashPassword("wheel swap");
      expect(await verifyPassword("wheel swap", hash)).toEqual(true);
      expect(await verifyPassword("wheel swop", hash)).toEqual(false);
    });

    it("never matches a hash that can't be read", async () => {
      const texts = ["", "scrypt$", "scrypt$3$8$1$AA==$AA==", "md5$1$1$1$a$b"];
      for (const text of texts) {
        expect(await verifyPassword("", text)).toEqual(false);
      }
    });
  });
});

type Path = readonly (string | number)[];

function leafPaths(value: unknown, path: Path = []): Path[] {
  if (typeof value !== "object" || value === null) return [path];
  return Object.entries(value).flatMap(([key, item]) =>
    leafPaths(item, [...path, Array.isArray(value) ? Number(key) : key])
  );
}

function replaceAt(value: unknown, path: Path, leaf: unknown): unknown {
  const [key, ...rest] = path;
  if (key === undefined) return leaf;
  if (Array.isArray(value)) {
    return value.map((item, index) =>
      index === key ? replaceAt(item, rest, leaf) : item
    );
  }
  const object = value as Record<string, unknown>;
  return { ...object, [key]: replaceAt(object[key], rest, leaf) };
}
