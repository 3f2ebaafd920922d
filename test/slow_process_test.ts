/**
 * Proxies whose process gets little processor time: their own delays must not look
 * like failures of the others.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { clock } from "../src/kernel/clock.ts";
import { type EventLog, Events } from "../src/kernel/events.ts";
import type { Host, HostList } from "../src/plugins/host_list/host_list.ts";
import { GossipMembership } from "../src/plugins/membership/gossip_membership.ts";
import { TrpcPeers } from "../src/plugins/peers/trpc_peers.ts";
import { eventually } from "./support/eventually.ts";

const PROXY_COUNT = 16;
const OBSERVED_MS = 8_000;

/** Time in ms out of each interval in which the process does nothing else. */
const BLOCKED_MS = 170;
const BLOCK_INTERVAL_MS = 250;

describe("membership in a process that is delayed most of the time", () => {
  const peers: TrpcPeers[] = [];
  const members: GossipMembership[] = [];
  const hosts: Host[] = [];
  let goneCount = 0;
  let blocker: NodeJS.Timeout;
  const log = {
    write: (kind) => {
      if (kind === Events.PEER_GONE) goneCount += 1;
    },
    enabled: () => false,
  } as Pick<EventLog, "write" | "enabled"> as EventLog;
  const hostList: HostList = {
    hosts: () => hosts,
    isLeaving: () => false,
    subscribe: () => () => undefined,
  };

  before(async () => {
    for (let number = 1; number <= PROXY_COUNT; number += 1) {
      const address = `127.41.10.${number}`;
      const peerKey = "the shared key of the proxies";
      const peer = new TrpcPeers({ address, peerPort: 0, peerKey }, log);
      await peer.start();
      peers.push(peer);
      hosts.push({
        ...{ name: `proxy-${number}`, kind: "proxy", zone: "zagreb-a" },
        ...{ endpoint: peer.endpoint, state: "live" },
      });
    }
    blocker = setInterval(() => {
      const until = clock.now() + BLOCKED_MS;
      while (clock.now() < until);
    }, BLOCK_INTERVAL_MS);
    for (const [index, peer] of peers.entries()) {
      const { name, zone } = hosts[index]!;
      const member = new GossipMembership({
        ...{ name, zone, environment: "production" },
        ...{ peers: peer, hostList, log },
      });
      members.push(member);
      await member.start();
    }
  });
  after(async () => {
    clearInterval(blocker);
    for (const member of members) await member.stop();
    for (const peer of peers) await peer.stop();
  });

  it("finds all and takes none of them for gone", async () => {
    const allAlive = () =>
      members.every((member) => member.alive().length === PROXY_COUNT);
    await eventually(allAlive, "all are alive to all");
    await sleep(OBSERVED_MS);
    expect(allAlive()).toEqual(true);
    expect(goneCount).toEqual(0);
  });
});
