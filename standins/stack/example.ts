/**
 * The example deployments: their documents, filled in for a stack.
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

/** The environment that a stack serves. */
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

/** Where a document's instances are reached, and the account's password hash. */
export interface Filling {
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
    this.document = check(this.#text);
    for (const wanted of options.databases ?? []) {
      const known = this.document.accounts[0]!.databases;
      if (known.includes(wanted)) continue;
      throw new Error(
        `databases: expected ${known.join(", ")}, found ${wanted}`,
      );
    }
  }

  /** The document's text for a stack. */
  fill(filling: Filling): string {
    const yaml = parseDocument(this.#text);
    yaml.setIn(["accounts", 0, "password"], filling.passwordHash);
    const proxies = yaml.createNode(filling.proxies);
    yaml.setIn(["environments", ENVIRONMENT, "proxies"], proxies);
    const groups = this.document.environments[ENVIRONMENT]!.groups;
    groups.forEach((group, index) => {
      const path = ["environments", ENVIRONMENT, "groups", index];
      group.instances.forEach((instance, place) => {
        const endpoint = filling.endpoints.get(instance.name);
        if (!endpoint) return;
        const at = [...path, "instances", place];
        yaml.setIn([...at, "host"], endpoint.host);
        yaml.setIn([...at, "port"], endpoint.port);
      });
    });
    this.#setAcknowledge(yaml);
    this.#dropGroups(yaml);
    const text = yaml.toString();
    check(text);
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

/** Path of a file of the examples. */
export function examplePath(file: string): string {
  return compiledPath(`../examples/${file}`);
}

function check(text: string): Document {
  const parsed = checkDocument(text);
  if (parsed.isErr()) throw new Error(parsed.error.message);
  return parsed.value;
}
