/**
 * Announces that a host stops as a holder, and takes the announcements of others.
 *
 * @module
 */
import { type EventLog, Events } from "../../kernel/events.ts";
import type { ChannelPeer, PeerChannels } from "../channels/channels.ts";
import type { Holders } from "./holders.ts";
import type { HolderService } from "./holder_service.ts";
import { WorkKinds } from "./work_messages.ts";

/** Dependencies of the announcements. */
export interface HolderStopOptions {
  /** Name of this proxy. */
  readonly proxy: string;
  readonly channels: PeerChannels;
  readonly holders: Holders;
  readonly service: HolderService;
  readonly log: EventLog;
}

/** The stop of this host, and those of others. Started last, so that a stop begins with it. */
export class HolderStop {
  readonly #options: HolderStopOptions;

  constructor(options: HolderStopOptions) {
    this.#options = options;
  }

  start(): void {
    this.#options.channels.serve(
      WorkKinds.STOPPING,
      (_, peer) => this.#receive(peer),
    );
  }

  /**
   * Announces the stop before this host's sessions end. Connections that are idle are closed with
   * the next change of shares; those in use when their work has ended.
   */
  drain(): Promise<void> {
    const { proxy, channels, holders, service, log } = this.#options;
    const held = holders.held();
    holders.stopping.add(proxy);
    holders.refresh();
    const senders = service.announceStop(proxy);
    if (held.length === 0 && senders === 0) return Promise.resolve();
    log.write(Events.HOLDER_STOPPING, { instances: held.length, senders });
    // The successors may not be connected; all others learn it with their next request.
    const successors = new Set(
      held.flatMap((instance) => holders.order.holders(instance))
        .map(({ channel }) => channel),
    );
    for (const channel of successors) {
      if (channel !== channels.endpoint) {
        channels.send(channel, WorkKinds.STOPPING, [proxy]);
      }
    }
    return Promise.resolve();
  }

  #receive({ proxy }: ChannelPeer): void {
    const { holders, log } = this.#options;
    if (!holders.stopping.add(proxy)) return;
    log.write(Events.HOLDER_LEAVES, { holder: proxy });
    holders.refresh();
  }
}
