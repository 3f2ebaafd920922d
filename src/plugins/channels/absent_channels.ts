/**
 * The channels of a host that has no port for them.
 *
 * @module
 */
import { errAsync, type ResultAsync } from "neverthrow";
import type { ChannelFailure, PeerChannels } from "./channels.ts";

/** Channels on which every call fails as not received. */
export class AbsentChannels implements PeerChannels {
  readonly endpoint = undefined;

  call(): ResultAsync<never, ChannelFailure> {
    return this.connect();
  }

  send(): boolean {
    return false;
  }

  serve(): void {}

  connect(): ResultAsync<never, ChannelFailure> {
    const reason = "this host has no port for channels";
    return errAsync({ reason, mayBeReceived: false });
  }

  earliestPeerTime(): undefined {
    return undefined;
  }
}
