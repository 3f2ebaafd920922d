/**
 * One connection through the network: the socket that the source has opened,
 * the socket to the target, and a pipe for each direction.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import type { DelayClock } from "./delay_clock.ts";
import type { NetworkHost, PathState } from "./faults.ts";
import { Pipe } from "./pipe.ts";

/** Traffic of all connections of a source to a target. */
export interface Traffic {
  connections: number;
  requestBytes: number;
  answerBytes: number;
}

/** Where a connection comes from and goes to. */
export interface Route {
  readonly source: NetworkHost;
  readonly target: NetworkHost;
  readonly host: string;
  readonly port: number;
  readonly traffic: Traffic;
}

/** A connection that passes data on while its path allows it. */
export class Connection {
  readonly route: Route;
  readonly #near: Socket;
  readonly #far: Socket | undefined;
  readonly #requests: Pipe | undefined;
  readonly #answers: Pipe | undefined;
  #dead = false;

  constructor(
    route: Route,
    near: Socket,
    path: PathState,
    loseReply: boolean,
    clock: DelayClock,
    onClosed: (connection: Connection) => void,
  ) {
    this.route = route;
    this.#near = near;
    near.on("error", () => undefined);
    route.traffic.connections += 1;
    if (path.unreachable) {
      this.#dead = true;
      near.on("close", () => onClosed(this));
      if (path.reset) near.resetAndDestroy();
      else near.resume();
      return;
    }
    const far = connectFrom(near, route);
    this.#far = far;
    this.#requests = new Pipe(near, far, clock, (bytes) => {
      route.traffic.requestBytes += bytes;
    });
    this.#answers = new Pipe(far, near, clock, (bytes) => {
      route.traffic.answerBytes += bytes;
    });
    this.#setDelay(path.delayMs);
    const roundTripMs = 2 * path.delayMs;
    if (roundTripMs > 0) {
      this.#requests.holdUntil(performance.now() + roundTripMs);
    }
    this.#dead = loseReply || path.dropsAnswers;
    if (this.#dead) this.#answers.swallow();
    this.#propagateEnd(near, far, onClosed);
  }

  /** Takes the state of the path after a change of the faults. */
  apply(path: PathState): void {
    const cut = path.dropsRequests || path.dropsAnswers;
    if (cut && path.reset) return this.#reset();
    if (this.#dead && !cut) return this.close();
    this.#dead = cut;
    if (!this.#requests || !this.#answers) return;
    this.#setDelay(path.delayMs);
    if (path.dropsRequests) this.#requests.swallow();
    if (path.dropsAnswers) this.#answers.swallow();
  }

  /** Closes both ends. */
  close(): void {
    this.#near.destroy();
    this.#far?.destroy();
  }

  #reset(): void {
    this.#near.resetAndDestroy();
    this.#far?.resetAndDestroy();
  }

  #setDelay(delayMs: number): void {
    this.#requests!.delayMs = delayMs;
    this.#answers!.delayMs = delayMs;
  }

  #propagateEnd(
    near: Socket,
    far: Socket,
    onClosed: (connection: Connection) => void,
  ): void {
    near.on("end", () => this.#requests!.finish("end"));
    far.on("end", () => this.#answers!.finish("end"));
    far.on("error", (error: NodeJS.ErrnoException) => {
      if (error.syscall === "connect") near.resetAndDestroy();
    });
    near.on("close", () => {
      this.#requests!.finish("destroy");
      if (far.closed) onClosed(this);
    });
    far.on("close", () => {
      this.#answers!.finish("destroy");
      if (near.closed) onClosed(this);
    });
  }
}

function connectFrom(near: Socket, route: Route): Socket {
  return connect({
    host: route.host,
    port: route.port,
    localAddress: near.remoteAddress,
    allowHalfOpen: true,
    noDelay: true,
  });
}
