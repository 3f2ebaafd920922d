/**
 * The procedures with which proxies probe each other and tell each other about
 * changes of primary, without the detour over the store.
 *
 * @module
 */
import * as z from "zod";
import type { PeerProcedure, Peers } from "../peers/peers.ts";
import type {
  AcknowledgementRecord,
  GroupRecord,
  Versioned,
} from "./coordination.ts";
import type { LivenessProbe } from "./host_watch.ts";

/** Timeout of a liveness probe, in ms: far above the latency between regions. */
const PROBE_TIMEOUT_MS = 700;

/** Timeout of an announcement or an acknowledgement, in ms: opening a connection between regions, and a busy host. */
const NOTICE_TIMEOUT_MS = 400;

/** A group's row that a proxy has written. */
export interface GroupNotice {
  readonly group: string;
  readonly row: Versioned<GroupRecord>;
}

/** A proxy's acknowledgement of a group's row, for the proxy that wrote it. */
export interface AcknowledgementNotice {
  readonly group: string;
  /** Name of the proxy that acknowledges. */
  readonly proxy: string;
  readonly record: AcknowledgementRecord;
}

const empty = z.object({});

/** Schema of a group's row. */
export const groupSchema = z.object({
  phase: z.enum(["steady", "changing"]),
  primary: z.string(),
  term: z.number(),
  holder: z.string(),
  holderLife: z.string(),
  planned: z.boolean(),
  expiresAt: z.number(),
  operation: z.string(),
});

/** Schema of an acknowledgement. */
export const acknowledgementSchema = z.object({
  version: z.number(),
  heardAgo: z.number().nullable(),
});

const PROBE: PeerProcedure<object, object> = {
  name: "host.probe",
  input: empty,
  output: empty,
};

// Proxies whose versions have no era use other names of this and the next procedure.
const ANNOUNCE: PeerProcedure<GroupNotice, object> = {
  name: "leadership.announceInEra",
  input: z.object({
    group: z.string(),
    row: z.object({ version: z.number(), value: groupSchema }),
  }),
  output: empty,
};

const ACKNOWLEDGE: PeerProcedure<AcknowledgementNotice, object> = {
  name: "leadership.acknowledgeInEra",
  input: z.object({
    group: z.string(),
    proxy: z.string(),
    record: acknowledgementSchema,
  }),
  output: empty,
};

/** Receives what other proxies tell. */
export interface NoticeListener {
  /** Called with a group's row that another proxy has written to the store. */
  onGroup(notice: GroupNotice): void;
  /** Called with an acknowledgement of a row that this proxy wrote. */
  onAcknowledgement(notice: AcknowledgementNotice): void;
}

/** Answers other proxies' probes. */
export function serveProbes(peers: Peers): void {
  peers.serve(PROBE, () => ({}));
}

/** Creates a probe of other proxies. */
export function createLivenessProbe(
  peers: Pick<Peers, "call">,
): LivenessProbe {
  return async (address) => {
    const answer = await peers.call(address, PROBE, {}, PROBE_TIMEOUT_MS);
    return answer.isOk();
  };
}

/** Sends and receives notices about the rows of groups. */
export class GroupNotices {
  readonly #peers: Peers;

  constructor(peers: Peers) {
    this.#peers = peers;
  }

  /** Passes the notices of other proxies to a listener. */
  serve(listener: NoticeListener): void {
    this.#peers.serve(ANNOUNCE, (notice) => {
      listener.onGroup(notice);
      return {};
    });
    this.#peers.serve(ACKNOWLEDGE, (notice) => {
      listener.onAcknowledgement(notice);
      return {};
    });
  }

  /** Tells proxies about a row; the store tells those that it does not reach. */
  announce(addresses: readonly string[], notice: GroupNotice): void {
    for (const address of addresses) {
      void this.#peers.call(address, ANNOUNCE, notice, NOTICE_TIMEOUT_MS);
    }
  }

  /** Tells the proxy that wrote a row that it is acknowledged; resolves to whether that proxy has answered. */
  async acknowledge(
    address: string,
    notice: AcknowledgementNotice,
  ): Promise<boolean> {
    const answer = await this.#peers.call(
      address,
      ACKNOWLEDGE,
      notice,
      NOTICE_TIMEOUT_MS,
    );
    return answer.isOk();
  }
}
