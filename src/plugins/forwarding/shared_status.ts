/**
 * Status requests to instances, shared among those that ask at the same time.
 *
 * @module
 */
import type { LinkResult, LinkStatus } from "../upstream/link.ts";

/** Sends a status request; calls `onBegun` right before it is written. */
export type StatusRequest = (onBegun: () => void) => LinkResult<LinkStatus>;

interface Requests {
  /** The latest request that was begun. */
  running?: Promise<unknown>;
  /** A request that has not been begun, so that further questions can share it. */
  next?: LinkResult<LinkStatus>;
}

/**
 * Shares requests by instance. What a status says is used as of the time of the
 * question, so a question shares only a request that begins after it has come.
 */
export class SharedStatus {
  readonly #requests = new Map<string, Requests>();

  /** Returns the status by a request that begins from now on. */
  request(instance: string, send: StatusRequest): LinkResult<LinkStatus> {
    const requests = this.#requests.get(instance) ?? {};
    this.#requests.set(instance, requests);
    requests.next ??= this.#start(instance, requests, send);
    return requests.next;
  }

  /** At most one request is running and one is waiting, however many ask. */
  async #start(
    instance: string,
    requests: Requests,
    send: StatusRequest,
  ): LinkResult<LinkStatus> {
    await requests.running;
    let hasBegun = false;
    const running = send(() => {
      hasBegun = true;
      requests.next = undefined;
    });
    requests.running = running;
    const result = await running;
    if (!hasBegun) requests.next = undefined;
    if (!requests.next) this.#requests.delete(instance);
    return result;
  }
}
