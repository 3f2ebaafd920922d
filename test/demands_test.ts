/**
 * Published demands, revisions and departures reach all proxies, also those that
 * are not partners of the publisher.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { createEventLog } from "../src/kernel/events.ts";
import type { Host, HostList } from "../src/plugins/host_list/host_list.ts";
import { GossipMembership } from "../src/plugins/membership/gossip_membership.ts";
import { TrpcPeers } from "../src/plugins/peers/trpc_peers.ts";
import { eventually } from "./support/eventually.ts";

const PROXY_COUNT = 16;
const log = createEventLog("fatal", {});

describe("membership with more proxies than a proxy has partners", () => {
  const peers: TrpcPeers[] = [];
  const members: GossipMembership[] = [];
  const hosts: Host[] = [];
  const hostList: HostList = {
    hosts: () => hosts,
    isLeaving: () => false,
    subscribe: () => () => undefined,
  };

  before(async () => {
    for (let number = 1; number <= PROXY_COUNT; number += 1) {
      const address = `127.41.9.${number}`;
      const peerKey = "the shared key of the proxies";
      const peer = new TrpcPeers({ address, peerPort: 0, peerKey }, log);
      await peer.start();
      peers.push(peer);
      hosts.push({
        ...{ name: `proxy-${number}`, kind: "proxy", zone: "zagreb-a" },
        ...{ endpoint: peer.endpoint, state: "live" },
      });
    }
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
    for (const member of members) await member.stop();
    for (const peer of peers) await peer.stop();
  });

  it("makes all known to all", async () => {
    await eventually(
      () => members.every((member) => member.alive().length === PROXY_COUNT),
      "all are alive to all",
    );
  });

  it("delivers the demands and the revision of one proxy to every proxy", async () => {
    const demand = { database: "booking", instance: "booking-1", wanted: 7 };
    members[0]!.publishDemands([demand]);
    members[0]!.publishRevision(3);
    const stateOfPublisher = (member: GossipMembership) =>
      member.alive().find((state) => state.name === "proxy-1");
    await eventually(
      () =>
        members.every((member) =>
          stateOfPublisher(member)?.demands.length === 1
        ),
      "the demand at every proxy",
    );
    for (const member of members) {
      expect(stateOfPublisher(member)?.demands).toEqual([demand]);
      expect(stateOfPublisher(member)?.revision).toEqual(3);
    }
  });

  it("delivers the departure of a leaving proxy to every other proxy", async () => {
    await members[0]!.publishLeaving();
    await eventually(
      () =>
        members.slice(1).every((member) =>
          member.alive().length === PROXY_COUNT - 1
        ),
      "the removal of the leaving proxy",
    );
  });
});
