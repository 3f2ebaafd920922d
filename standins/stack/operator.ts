/**
 * What an operator and the platform do in a stack: put and promote documents,
 * list hosts, and ask instances directly.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import pg from "pg";
import { createEventLog } from "../../src/kernel/events.ts";
import { Revisions } from "../../src/plugins/document/revisions.ts";
import type { Host } from "../../src/plugins/host_list/host_list.ts";
import { S3ObjectStore } from "../../src/plugins/object_store/s3_object_store.ts";
import { DynamoTable } from "../../src/plugins/table_service/dynamo_table.ts";
import type { Endpoint } from "./address_space.ts";
import { ENVIRONMENT } from "./example.ts";
import { UPSTREAM_USER } from "./launcher.ts";
import { urlOf } from "./routes.ts";

const DEFAULT_NAME = "marjoramshed";
const CONTROL_NAME = "marjoramshed-control-stack";
// Read by the SDK when a client is made; its notice of a later end of support is no error here.
process.env["AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED"] = "true";

const QUERY_TIMEOUT_MS = 5_000;
const FIRST_ENVIRONMENT = "trial";

/** Puts a document on trial and promotes it; resolves with the revision's number. */
export async function promoteDocument(
  text: string,
  tableService: Endpoint,
  objectStore: Endpoint,
): Promise<number> {
  const log = createEventLog("error", {});
  const access = { accessKey: DEFAULT_NAME, secret: DEFAULT_NAME, log };
  const table = new DynamoTable({
    ...access,
    url: urlOf(tableService),
    table: DEFAULT_NAME,
  });
  const objects = new S3ObjectStore({
    ...access,
    url: urlOf(objectStore),
    bucket: DEFAULT_NAME,
  });
  try {
    const revisions = new Revisions({ table, objects });
    const operation = () => ({ id: randomUUID(), operator: "stack" });
    const head = await revisions.put(FIRST_ENVIRONMENT, text, operation())
      .andThen(() =>
        revisions.promote(FIRST_ENVIRONMENT, ENVIRONMENT, operation())
      );
    if (head.isErr()) throw new Error(head.error.message);
    return head.value.number;
  } finally {
    await Promise.all([table.stop(), objects.stop()]);
  }
}

/** Puts the whole list of hosts. */
export function putHosts(
  hostList: Endpoint,
  hosts: readonly Host[],
): Promise<void> {
  return sendJson(`${urlOf(hostList)}/hosts`, "PUT", { hosts });
}

/** Sends JSON; throws when the answer is not a success. */
export async function sendJson(
  url: string,
  method: "PUT" | "PATCH" | "DELETE",
  value: unknown,
): Promise<void> {
  const answer = await fetch(url, { method, body: JSON.stringify(value) });
  if (answer.ok) return;
  throw new Error(`${method} ${url}: ${answer.status} ${await answer.text()}`);
}

/** Runs a statement at an instance, outside its connection limit. */
export async function queryInstance(
  endpoint: Endpoint,
  database: string,
  text: string,
): Promise<readonly Readonly<Record<string, unknown>>[]> {
  const client = new pg.Client({
    ...endpoint,
    database,
    user: UPSTREAM_USER,
    password: UPSTREAM_USER,
    application_name: CONTROL_NAME,
    connectionTimeoutMillis: QUERY_TIMEOUT_MS,
    query_timeout: QUERY_TIMEOUT_MS,
  });
  client.on("error", () => undefined);
  try {
    await client.connect();
    return (await client.query(text)).rows;
  } finally {
    await client.end().catch(() => undefined);
  }
}
