/**
 * Peer procedures that hold and release writes on the other proxies during a switchover.
 *
 * @module
 */
import type { Result, ResultAsync } from "neverthrow";
import { z } from "zod";
import type { Failure } from "../../kernel/result_codes.ts";
import type { HostList } from "../host_list/host_list.ts";
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
const acknowledgment = z.object({ taken: z.literal(true) });
const holdOutput = acknowledgment.extend({
  /** Missing in the answer of an earlier release. */
  drained: z.boolean().default(true),
});

const HOLD: PeerProcedure<
  z.infer<typeof holdInput>,
  z.infer<typeof holdOutput>
> = { name: "failover.hold", input: holdInput, output: holdOutput };

const RELEASE: PeerProcedure<
  z.infer<typeof releaseInput>,
  z.infer<typeof acknowledgment>
> = { name: "failover.release", input: releaseInput, output: acknowledgment };

/** Registers the procedures through which peers hold and release writes at this proxy. */
export function serveAnnouncements(peers: Peers, failover: Failover): void {
  peers.serve(HOLD, async ({ database, instance, duration }) => {
    const drained = await failover.holdWrites(database, instance, duration);
    return { taken: true, drained };
  });
  peers.serve(RELEASE, ({ database }) => {
    failover.releaseWrites(database);
    return { taken: true };
  });
}

/** Dependencies of an announcer. */
export interface PeerAnnouncerOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly peers: Pick<Peers, "call">;
  readonly membership: Pick<Membership, "members">;
  readonly hostList: Pick<HostList, "hosts">;
}

/** Calls all live peers in parallel, and listed ones that membership has not found yet. */
export class PeerAnnouncer implements SwitchoverAnnouncer {
  readonly #options: PeerAnnouncerOptions;

  constructor(options: PeerAnnouncerOptions) {
    this.#options = options;
  }

  async hold(
    database: string,
    instance: string,
    duration: number,
  ): Promise<boolean> {
    const input = { database, instance, duration };
    const answers = await this.#callPeers((endpoint) =>
      this.#options.peers.call(endpoint, HOLD, input, HOLD_TIMEOUT_MS)
    );
    return answers.every((answer) => answer.isOk() && answer.value.drained);
  }

  async release(database: string): Promise<void> {
    await this.#callPeers((endpoint) =>
      this.#options.peers.call(
        endpoint,
        RELEASE,
        { database },
        RELEASE_TIMEOUT_MS,
      )
    );
  }

  async #callPeers<T>(
    call: (endpoint: string) => ResultAsync<T, Failure>,
  ): Promise<readonly Result<T, Failure>[]> {
    return await Promise.all(this.#endpoints().map(call));
  }

  #endpoints(): readonly string[] {
    const { proxy, membership, hostList } = this.#options;
    const members = membership.members();
    const known = new Set(members.map(({ state }) => state.name));
    const alive = members
      .filter(({ state, liveness }) => liveness !== "gone" && !state.leaving)
      .map(({ state }) => state);
    // A proxy that has just started may use the primary before it is found.
    const unknown = hostList.hosts()
      .filter(({ kind, name }) => kind === "proxy" && !known.has(name));
    return [...alive, ...unknown]
      .filter(({ name }) => name !== proxy)
      .map(({ endpoint }) => endpoint);
  }
}
