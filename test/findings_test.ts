/**
 * Runs the examples of docs/findings.md.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { expect } from "earl";
import { parse as parseYaml, stringify } from "yaml";
import { parseConfiguration } from "../platform/documents.ts";
import { checkDocument } from "../src/plugins/check/check_document.ts";
import { checkRoutes } from "../src/plugins/check/check_routes.ts";
import { FindingKinds, type Report } from "../src/plugins/check/finding.ts";
import { parseDocument } from "../src/plugins/document/parse_document.ts";

const PAGE = readFileSync("docs/findings.md", "utf8");
const HOSTS = 3;
const PLACEHOLDER = "EXAMPLE-VALUE";
const ROW = "row ";

/** The page's indented blocks before the first heading of a finding: the document and the configuration. */
const [DOCUMENT = "", CONFIGURATION = ""] = PAGE.split("### ")[0]!
  .match(/(?:^ {4}.*\n)+/gm)!
  .map((block) => block.replace(/^ {4}/gm, ""));

/** The examples of each heading such as `F201 hidden-entry`. */
const EXAMPLES = PAGE.split("### ").slice(1).map((section) => {
  const [heading = "", ...lines] = section.split("\n");
  const examples = lines.filter((line) => line.startsWith("    "))
    .map((line) => line.trim());
  return { heading, examples };
});

/** Sets the value at a path of a text to the raw text of an example. */
function applyExample(text: string, example: string): string {
  const [path = "", ...rest] = example.split(": ");
  const raw = rest.join(": ").replace(
    /<(.) × (\d+)>/,
    (_, part: string, count: string) => part.repeat(Number(count)),
  );
  const root = parseYaml(text);
  const keys = path.replace(/\[(\d+)\]/g, ".$1").split(".");
  const last = keys.pop()!;
  const parent = keys.reduce((value, key) => value[key] ??= {}, root);
  if (raw !== "<removed>") {
    Object.defineProperty(parent, last, {
      value: PLACEHOLDER,
      enumerable: true,
      configurable: true,
      writable: true,
    });
  } else if (Array.isArray(parent)) parent.splice(Number(last), 1);
  else delete parent[last];
  return stringify(root).replace(PLACEHOLDER, () => raw);
}

function readTable(text: string) {
  return parseConfiguration({
    table: "op",
    key: "config",
    value: Buffer.from(JSON.stringify(parseYaml(text))),
    version: 1,
  })._unsafeUnwrap();
}

/** Checks an example; differences are looked for only where the heading is of a difference. */
function check(example: string, code: string): Report {
  const isDifference = code.startsWith("F4");
  if (example.startsWith(ROW)) {
    const changed = applyExample(CONFIGURATION, example.slice(ROW.length));
    const current = isDifference ? readTable(CONFIGURATION) : undefined;
    return checkRoutes(readTable(changed), { current, hosts: HOSTS });
  }
  const current = isDifference
    ? parseDocument(DOCUMENT)._unsafeUnwrap()
    : undefined;
  return checkDocument(applyExample(DOCUMENT, example), { current });
}

describe("docs/findings.md", () => {
  it("lists all kinds of findings, each with examples", () => {
    const rows = PAGE.split("\n").filter((line) => line.startsWith("| F"))
      .map((line) => line.split("|").slice(1, 4).map((cell) => cell.trim()));
    const kinds = Object.values(FindingKinds);
    expect(rows).toEqual(kinds.map(({ code, name, severity }) => [
      ...[code, name, severity],
    ]));
    expect(EXAMPLES.map(({ heading }) => heading))
      .toEqual(kinds.map(({ code, name }) => `${code} ${name}`));
    expect(EXAMPLES.filter(({ examples }) => examples.length === 0))
      .toEqual([]);
  });

  it("has a document and a configuration without findings", () => {
    expect(checkDocument(DOCUMENT).findings).toEqual([]);
    expect(checkRoutes(readTable(CONFIGURATION), { hosts: HOSTS }).findings)
      .toEqual([]);
  });

  // Guards against a finding that appears without its cause, or another one in its place.
  describe("gives exactly the finding of the heading", () => {
    for (const { heading, examples } of EXAMPLES) {
      const [code = ""] = heading.split(" ");
      for (const example of examples) {
        it(`${heading}: ${example.slice(0, 80)}`, () => {
          const { findings } = check(example, code);
          const codes = findings.map(({ kind }) => kind.code);
          expect([...new Set(codes)]).toEqual([code]);
          if (example.startsWith(ROW)) return;
          // The line of a part that exists is in the changed document.
          const isWhole = findings.every(({ path }) => path === "");
          const isGone = example.endsWith("<removed>");
          expect(isWhole || isGone || findings[0]!.line > 0).toEqual(true);
        });
      }
    }
  });
});
