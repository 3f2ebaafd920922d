/**
 * Requests the status report of every listed proxy. A proxy that does not respond
 * is reported as not heard; its state is never taken from the reports of other
 * proxies.
 *
 * @module
 */
import type { Head } from "../plugins/document/head.ts";
import type { Host } from "../plugins/host_list/host_list.ts";
import type { PeerClient } from "../plugins/peers/peer_client.ts";
import {
  type GroupReport,
  type ProxyReport,
  statusProcedure,
} from "../plugins/status/status.ts";

const MAX_CONCURRENT_REQUESTS = 64;
const REPORT_TIMEOUT_MS = 2_000;

/** Status of one listed proxy. */
export interface ProxyStatusLine {
  readonly name: string;
  readonly zone: string;
  readonly state: Host["state"];
  readonly heard: boolean;
  /** Number of the active revision, 0 for none; undefined if the proxy was not heard. */
  readonly revision?: number;
  /** Hash of the active document; undefined if there is none or the proxy was not heard. */
  readonly hash?: string;
  /** Why the proxy was not heard. */
  readonly reason?: string;
}

/** Status of a database group as reported by one proxy. */
export interface GroupStatusLine extends GroupReport {
  /** Environment of the reporting proxy; each may have a database of the same name. */
  readonly environment: string;
  /** Name of the reporting proxy. */
  readonly reportedBy: string;
}

/** Status of an environment. */
export interface EnvironmentStatus {
  /** The head in the table service; undefined if the head was not read. */
  readonly accepted?: Pick<Head, "environment" | "number" | "hash">;
  readonly proxies: readonly ProxyStatusLine[];
  readonly groups: readonly GroupStatusLine[];
}

interface ProxyResponse {
  readonly line: ProxyStatusLine;
  readonly report?: ProxyReport;
}

/** Collects the status of all listed proxies and of their database groups. */
export async function collectStatus(
  hosts: readonly Host[],
  client: PeerClient,
): Promise<EnvironmentStatus> {
  const proxies = hosts.filter((host) => host.kind === "proxy");
  const responses: ProxyResponse[] = [];
  for (
    let first = 0;
    first < proxies.length;
    first += MAX_CONCURRENT_REQUESTS
  ) {
    const batch = proxies.slice(first, first + MAX_CONCURRENT_REQUESTS);
    responses.push(
      ...await Promise.all(batch.map((host) => requestReport(host, client))),
    );
  }
  const reports = responses
    .map((response) => response.report)
    .filter((report) => report !== undefined);
  return {
    proxies: responses.map((response) => response.line),
    groups: chooseGroups(reports),
  };
}

async function requestReport(
  host: Host,
  client: PeerClient,
): Promise<ProxyResponse> {
  const { name, zone, state, endpoint } = host;
  const response = await client
    .call(endpoint, statusProcedure, {}, REPORT_TIMEOUT_MS);
  if (response.isErr()) {
    const { message, detail } = response.error;
    const reason = detail ? `${message}: ${detail}` : message;
    return { line: { name, zone, state, heard: false, reason } };
  }
  const report = response.value;
  if (report.name !== name) {
    const reason = `${endpoint} belongs to ${report.name}`;
    return { line: { name, zone, state, heard: false, reason } };
  }
  const { revision, hash } = report;
  const line = {
    ...{ name, zone, state, heard: true, revision },
    ...(hash === null ? {} : { hash }),
  };
  return { line, report };
}

/** Selects for each database of an environment the report with the highest term; among equal terms, the first that names a primary. */
function chooseGroups(
  reports: readonly ProxyReport[],
): readonly GroupStatusLine[] {
  const chosen = new Map<string, GroupStatusLine>();
  for (const { name: reportedBy, environment, groups } of reports) {
    for (const group of groups) {
      const key = `${environment}/${group.database}`;
      const known = chosen.get(key);
      if (known && !supersedes(group, known)) continue;
      chosen.set(key, { ...group, environment, reportedBy });
    }
  }
  return [...chosen.values()];
}

function supersedes(group: GroupReport, known: GroupReport): boolean {
  if (group.term !== known.term) return group.term > known.term;
  return known.primary === null && group.primary !== null;
}
