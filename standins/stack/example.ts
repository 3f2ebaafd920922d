/**
 * Loads the documents of the example deployments and adapts them to a stack.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { type Document as YamlDocument, parseDocument } from "yaml";
import type { Document } from "../../src/plugins/document/document.ts";
import { parseDocument as checkDocument } from "../../src/plugins/document/parse_document.ts";
import type { Endpoint } from "./address_space.ts";
import { compiledPath } from "./daemon_process.ts";
import type { ExampleName, StackOptions } from "./options.ts";

/** The environment that the proxies of a stack serve. */
export const ENVIRONMENT = "production";

/** One-way latencies of a deployment, in ms. */
export interface Latencies {
  readonly betweenZonesMs: number;
  readonly toCallersMs: number;
}

const LATENCIES: Readonly<Record<ExampleName, Latencies>> = {
  kotacic: { betweenZonesMs: 1, toCallersMs: 3 },
  fusayfisa: { betweenZonesMs: 1.5, toCallersMs: 1 },
};

/** Values of a stack that replace those of the example's document. */
export interface DocumentValues {
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  readonly passwordHash: string;
  readonly proxies: readonly { readonly name: string; readonly zone: string }[];
}

/** An example deployment. */
export class Example {
  readonly latencies: Latencies;
  readonly document: Document;
  readonly #text: string;
  readonly #options: StackOptions;

  constructor(options: StackOptions) {
    const name = options.example ?? "kotacic";
    this.latencies = LATENCIES[name];
    this.#text = readFileSync(examplePath(`${name}.yaml`), "utf8");
    this.#options = options;
    this.document = parseOrThrow(this.#text);
    for (const requested of options.databases ?? []) {
      const known = this.document.accounts[0]!.databases;
      if (known.includes(requested)) continue;
      throw new Error(
        `databases: expected ${known.join(", ")}, found ${requested}`,
      );
    }
  }

  /** Renders the document's text with the values of a stack; throws when the result is invalid. */
  renderDocument(values: DocumentValues): string {
    const yaml = parseDocument(this.#text);
    yaml.setIn(["accounts", 0, "password"], values.passwordHash);
    const proxies = yaml.createNode(values.proxies);
    yaml.setIn(["environments", ENVIRONMENT, "proxies"], proxies);
    const groups = this.document.environments[ENVIRONMENT]!.groups;
    groups.forEach((group, index) => {
      const path = ["environments", ENVIRONMENT, "groups", index];
      group.instances.forEach((instance, place) => {
        const endpoint = values.endpoints.get(instance.name);
        if (!endpoint) return;
        const at = [...path, "instances", place];
        yaml.setIn([...at, "host"], endpoint.host);
        yaml.setIn([...at, "port"], endpoint.port);
      });
    });
    this.#setAcknowledge(yaml);
    this.#dropGroups(yaml);
    const text = yaml.toString();
    parseOrThrow(text);
    return text;
  }

  #setAcknowledge(yaml: YamlDocument): void {
    if (!this.#options.acknowledge) return;
    const environment = ["environments", "trial", "groups"];
    this.document.environments["trial"]!.groups.forEach((_, index) => {
      const path = [...environment, index, "writes", "acknowledge"];
      yaml.setIn(path, this.#options.acknowledge);
    });
  }

  #dropGroups(yaml: YamlDocument): void {
    const wanted = this.#options.databases;
    if (!wanted) return;
    const groups = this.document.environments[ENVIRONMENT]!.groups;
    for (let index = groups.length - 1; index >= 0; index -= 1) {
      if (wanted.includes(groups[index]!.database)) continue;
      yaml.deleteIn(["environments", ENVIRONMENT, "groups", index]);
    }
  }
}

/** Absolute path of a file in the examples folder. */
export function examplePath(file: string): string {
  return compiledPath(`../examples/${file}`);
}

function parseOrThrow(text: string): Document {
  const parsed = checkDocument(text);
  if (parsed.isErr()) throw new Error(parsed.error.message);
  return parsed.value;
}
