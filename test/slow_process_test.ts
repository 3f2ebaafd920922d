/**
 * Proxies whose process gets little processor time: their own delays must not look
 * like failures of the others.
 *
 * The process is a model in virtual time, since the processor time that a real one
 * gets depends on the load of the machine.
 *
 * @module
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import { ResultAsync } from "neverthrow";
import { type EventLog, Events } from "../src/kernel/events.ts";
import { createFailure, ResultCodes } from "../src/kernel/result_codes.ts";
import type { Host, HostList } from "../src/plugins/host_list/host_list.ts";
import { GossipMembership } from "../src/plugins/membership/gossip_membership.ts";
import type {
  PeerHandler,
  PeerProcedure,
  Peers,
} from "../src/plugins/peers/peers.ts";
import { runInVirtualTime } from "./platform/fixtures/virtual_time.ts";

const PROXY_COUNT = 16;
const FOUND_WITHIN_MS = 30_000;
const OBSERVED_MS = 8_000;
const POLL_INTERVAL_MS = 20;
const SEEDS = [1, 2, 3, 4, 5];

/** Time in ms out of each interval in which the process does nothing else. */
const BLOCKED_MS = 170;
const BLOCK_INTERVAL_MS = 250;

/**
 * Times that a call takes, for both sides together: the measured processor time,
 * and that of a process with a third to a twelfth of a core.
 */
const CALL_COSTS_MS = [1.3, 4, 6, 8, 16];
/** A call is sent, handled, and its answer read. */
const CALL_STEPS = 3;
const TRANSFER_MS = 0.1;

/** Peers in one process, which handles messages one after the other. */
class ModelledPeers implements Peers {
  readonly port = 0;
  readonly endpoint: string;
  readonly #handlers = new Map<string, PeerHandler<unknown, unknown>>();
  readonly #all: Map<string, ModelledPeers>;
  readonly #spendStep: () => void;

  constructor(
    endpoint: string,
    all: Map<string, ModelledPeers>,
    spendStep: () => void,
  ) {
    this.endpoint = endpoint;
    this.#all = all;
    this.#spendStep = spendStep;
    all.set(endpoint, this);
  }

  serve<Input, Output>(
    procedure: PeerProcedure<Input, Output>,
    handler: PeerHandler<Input, Output>,
  ): void {
    this.#handlers.set(
      procedure.name,
      (input) => handler(procedure.input.parse(input)),
    );
  }

  call<Input, Output>(
    endpoint: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    timeout: number,
  ) {
    const body = JSON.stringify(input);
    const answer = new Promise<Output>((resolve, reject) => {
      setTimeout(() => reject(new Error("timeout")), timeout);
      this.#spendStep();
      this.#transfer(async () => {
        const handle = this.#all.get(endpoint)!.#handlers.get(procedure.name)!;
        const output = JSON.stringify(await handle(JSON.parse(body)));
        this.#transfer(() =>
          resolve(procedure.output.parse(JSON.parse(output)))
        );
      });
    });
    return ResultAsync.fromPromise(
      answer,
      () => createFailure(ResultCodes.PEER_UNAVAILABLE, endpoint),
    );
  }

  traffic() {
    return { sent: 0, received: 0 };
  }

  /** As in an event loop, a message is read after the timers that are due by then. */
  #transfer(handle: () => void): void {
    const read = () => {
      this.#spendStep();
      handle();
    };
    setTimeout(() => setTimeout(read, 0), TRANSFER_MS);
  }
}

interface Outcome {
  /** Time in ms at which all were alive to all; undefined if it never came. */
  readonly foundAt: number | undefined;
  readonly allAliveAfterwards: boolean;
  readonly goneCount: number;
}

/** Runs proxies in one process that is blocked for most of the time. */
async function play(callCostMs: number, seed: number): Promise<Outcome> {
  let goneCount = 0;
  let foundAt: number | undefined;
  let allAliveAfterwards = false;
  const log = {
    write: (kind) => {
      if (kind === Events.PEER_GONE) goneCount += 1;
    },
    enabled: () => false,
  } as Pick<EventLog, "write" | "enabled"> as EventLog;
  const hosts: Host[] = [];
  const hostList: HostList = {
    hosts: () => hosts,
    isLeaving: () => false,
    subscribe: () => () => undefined,
  };
  await runInVirtualTime(seed, FOUND_WITHIN_MS + OBSERVED_MS, (time) => {
    setInterval(() => time.spend(BLOCKED_MS), BLOCK_INTERVAL_MS);
    const spendStep = () => time.spend(callCostMs / CALL_STEPS);
    const all = new Map<string, ModelledPeers>();
    const members: GossipMembership[] = [];
    for (let number = 1; number <= PROXY_COUNT; number += 1) {
      const peers = new ModelledPeers(`proxy-${number}:1`, all, spendStep);
      const name = `proxy-${number}`;
      const zone = "zagreb-a";
      const { endpoint } = peers;
      hosts.push({ name, kind: "proxy", zone, endpoint, state: "live" });
      members.push(
        new GossipMembership({
          ...{ name, zone, environment: "production" },
          ...{ peers, hostList, log },
        }),
      );
    }
    for (const member of members) void member.start();
    const allAlive = () =>
      members.every((member) => member.alive().length === PROXY_COUNT);
    const poll = setInterval(() => {
      if (!allAlive()) return;
      clearInterval(poll);
      foundAt = performance.now();
      setTimeout(() => {
        allAliveAfterwards = allAlive();
      }, OBSERVED_MS);
    }, POLL_INTERVAL_MS);
  });
  return { foundAt, allAliveAfterwards, goneCount };
}

describe("membership in a process that is delayed most of the time", () => {
  for (const callCostMs of CALL_COSTS_MS) {
    it(`finds all and takes none of them for gone, ${callCostMs} ms a call`, async () => {
      for (const seed of SEEDS) {
        const outcome = await play(callCostMs, seed);
        expect(outcome.foundAt ?? Infinity).toBeLessThan(FOUND_WITHIN_MS);
        expect(outcome.allAliveAfterwards).toEqual(true);
        expect(outcome.goneCount).toEqual(0);
      }
    });
  }
});
