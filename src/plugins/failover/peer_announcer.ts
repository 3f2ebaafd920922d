/**
 * Peer procedures that hold and release writes on the other proxies during a switchover.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import { z } from "zod";
import type { Failure } from "../../kernel/result_codes.ts";
import type { Membership } from "../membership/membership.ts";
import type { PeerProcedure, Peers } from "../peers/peers.ts";
import type { Failover, SwitchoverAnnouncer } from "./failover.ts";

/** Timeouts of the calls to a peer. */
const HOLD_TIMEOUT_MS = 1_500;
const RELEASE_TIMEOUT_MS = 1_000;
/** Longest hold that a peer may request. */
const HOLD_MAX_MS = 10_000;

const holdInput = z.strictObject({
  database: z.string(),
  instance: z.string(),
  duration: z.number().int().min(1).max(HOLD_MAX_MS),
});
const releaseInput = z.strictObject({ database: z.string() });
const acknowledgment = z.strictObject({ taken: z.literal(true) });

const HOLD: PeerProcedure<
  z.infer<typeof holdInput>,
  z.infer<typeof acknowledgment>
> = { name: "failover.hold", input: holdInput, output: acknowledgment };

const RELEASE: PeerProcedure<
  z.infer<typeof releaseInput>,
  z.infer<typeof acknowledgment>
> = { name: "failover.release", input: releaseInput, output: acknowledgment };

/** Registers the procedures through which peers hold and release writes at this proxy. */
export function serveAnnouncements(peers: Peers, failover: Failover): void {
  peers.serve(HOLD, async ({ database, instance, duration }) => {
    await failover.holdWrites(database, instance, duration);
    return { taken: true };
  });
  peers.serve(RELEASE, ({ database }) => {
    failover.releaseWrites(database);
    return { taken: true };
  });
}

/** Calls all live peers in parallel; failed calls are ignored. */
export class PeerAnnouncer implements SwitchoverAnnouncer {
  readonly #peers: Peers;
  readonly #membership: Membership;
  readonly #name: string;

  constructor(peers: Peers, membership: Membership, name: string) {
    this.#peers = peers;
    this.#membership = membership;
    this.#name = name;
  }

  async hold(
    database: string,
    instance: string,
    duration: number,
  ): Promise<void> {
    const input = { database, instance, duration };
    await this.#callPeers((endpoint) =>
      this.#peers.call(endpoint, HOLD, input, HOLD_TIMEOUT_MS)
    );
  }

  async release(database: string): Promise<void> {
    await this.#callPeers((endpoint) =>
      this.#peers.call(endpoint, RELEASE, { database }, RELEASE_TIMEOUT_MS)
    );
  }

  async #callPeers(
    call: (endpoint: string) => ResultAsync<unknown, Failure>,
  ): Promise<void> {
    const others = this.#membership.alive().filter((item) =>
      item.name !== this.#name
    );
    await Promise.all(others.map((item) => call(item.endpoint)));
  }
}
