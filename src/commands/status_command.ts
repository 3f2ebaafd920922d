/**
 * The `status` command: shows the active revision of each proxy and the state of
 * each database group.
 *
 * @module
 */
import { Command, Option } from "clipanion";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { Agent } from "undici";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../kernel/result_codes.ts";
import { checkSettings, settingsSchema } from "../kernel/settings.ts";
import type { Host } from "../plugins/host_list/host_list.ts";
import { readHosts } from "../plugins/host_list/http_host_list.ts";
import { createEventLog } from "../kernel/events.ts";
import { resolvePeerCertificate } from "../plugins/peers/peer_certificate.ts";
import { PeerClient } from "../plugins/peers/peer_client.ts";
import { SocketTraffic } from "../plugins/peers/socket_traffic.ts";
import { resolvePeerKeys } from "../plugins/peers/trpc_peers.ts";
import { ReportCommand } from "./operator_command.ts";
import {
  collectStatus,
  type EnvironmentStatus,
  type GroupStatusLine,
  type ProxyStatusLine,
} from "./status_collection.ts";
import { formatTable } from "./table.ts";

const HOST_LIST_TIMEOUT_MS = 2_000;

const statusSettingsSchema = settingsSchema.pick({
  hostList: true,
  peerKey: true,
  peerKeyBefore: true,
  peerCertificate: true,
  peerCertificateKey: true,
  peerAuthority: true,
});

/** `marjoramshed status`. */
export class StatusCommand extends ReportCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: "Status",
    description:
      "Show the active revision of each proxy, and the database groups",
    details: `
      Asks each proxy of the host list for its active revision; a proxy that does
      not respond is shown as \`not heard\`. Each group is shown as reported by
      the proxy with the highest term: the primary, and for each instance its role
      and the upper bound of the age of its data.
    `,
    examples: [
      [
        "As a table",
        '$0 status --host-list http://10.0.0.2:7000 --peer-key "$KEY"',
      ],
      ["As JSON, settings from the environment", "$0 status --json"],
    ],
  });

  hostList = Option.String("--host-list", {
    description: "URL of the host list",
  });
  peerKey = Option.String("--peer-key", {
    description: "Shared key of the proxies",
  });
  peerKeyBefore = Option.String("--peer-key-before", {
    description: "Previous shared key, during key rotation",
  });
  peerCertificate = Option.String("--peer-certificate", {
    description: "TLS certificate for peers, a PEM file",
  });
  peerCertificateKey = Option.String("--peer-certificate-key", {
    description: "Private key of the certificate, a PEM file",
  });
  peerAuthority = Option.String("--peer-authority", {
    description: "Certificate authority of the proxies, a PEM file",
  });

  protected async run(): Promise<Result<string, Failure>> {
    const { hostList, peerKey, peerKeyBefore } = this;
    const { peerCertificate, peerCertificateKey, peerAuthority } = this;
    const checked = checkSettings(statusSettingsSchema, {
      ...{ hostList, peerKey, peerKeyBefore },
      ...{ peerCertificate, peerCertificateKey, peerAuthority },
    }, process.env);
    if (checked.isErr()) return err(checked.error);
    const hosts = await listHosts(checked.value.hostList);
    if (hosts.isErr()) return err(hosts.error);
    const certificate = resolvePeerCertificate(
      checked.value,
      createEventLog("silent", {}),
    );
    const client = new PeerClient({
      keys: resolvePeerKeys(checked.value),
      traffic: new SocketTraffic(),
      certificate,
    });
    try {
      return this.#format(await collectStatus(hosts.value, client));
    } finally {
      await client.close();
      certificate?.close();
    }
  }

  #format(status: EnvironmentStatus): Result<string, Failure> {
    if (this.json) return ok(JSON.stringify(status));
    return ok([
      formatProxies(status.proxies),
      "",
      formatGroups(status.groups),
    ].join("\n"));
  }
}

function listHosts(url: string): ResultAsync<readonly Host[], Failure> {
  const agent = new Agent();
  const signal = AbortSignal.timeout(HOST_LIST_TIMEOUT_MS);
  const request = readHosts(url, agent, signal)
    .then(({ hosts }) => hosts)
    .finally(() => agent.destroy());
  return ResultAsync.fromPromise(request, (error) =>
    createFailure(
      ResultCodes.HOST_LIST_UNAVAILABLE,
      `could not read the host list at ${url}`,
      { detail: error instanceof Error ? error.message : String(error) },
    ));
}

function formatProxies(lines: readonly ProxyStatusLine[]): string {
  const rows = lines.map((line) => [
    line.name,
    line.zone,
    line.state,
    line.heard ? String(line.revision || "none") : "not heard",
    line.hash?.slice(0, 12) ?? line.reason ?? "",
  ]);
  return formatTable(["PROXY", "ZONE", "LISTED", "REVISION", "HASH"], rows);
}

function formatGroups(groups: readonly GroupStatusLine[]): string {
  if (groups.length === 0) return "no groups reported";
  const rows = groups.flatMap((group) =>
    group.instances.map((instance) => [
      group.environment,
      group.database,
      String(group.term),
      instance.name,
      instance.zone,
      instance.name === group.primary ? "primary" : instance.role ?? "unknown",
      instance.ageMs === null ? "unknown" : `${instance.ageMs} ms`,
      [
        instance.usable ? "" : "not usable",
        instance.leaving ? "leaving" : "",
        instance.slow ? "slow" : "",
      ].filter((note) => note !== "").join(", "),
      group.reportedBy,
    ])
  );
  return formatTable([
    ...[
      "ENVIRONMENT",
      "DATABASE",
      "TERM",
      "INSTANCE",
      "ZONE",
      "ROLE",
      "AGE",
      "NOTES",
    ],
    "REPORTED BY",
  ], rows);
}
