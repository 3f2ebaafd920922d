/**
 * Connections through the network.
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

/** A connection that a source has opened. */
export interface Connection {
  readonly route: Route;
  /** Resolves when both ends are closed. */
  readonly closed: Promise<unknown>;
  /** Takes the state of the path after a change of the faults. */
  apply(path: PathState): void;
  /** Closes both ends. */
  close(): void;
}

/** A connection that was opened over a cut path: accepted, and all that comes is swallowed. */
export class BlackHole implements Connection {
  readonly route: Route;
  readonly closed: Promise<unknown>;
  readonly #near: Socket;

  constructor(route: Route, near: Socket) {
    this.route = route;
    this.closed = closeOf(near);
    this.#near = near;
    near.on("error", () => undefined);
    near.resume();
  }

  apply(path: PathState): void {
    if (path.unreachable && path.reset) this.#near.resetAndDestroy();
    else if (!path.unreachable) this.close();
  }

  close(): void {
    this.#near.destroy();
  }
}

/** A connection that passes data on while its path allows it. */
export class Relay implements Connection {
  readonly route: Route;
  readonly closed: Promise<unknown>;
  readonly #near: Socket;
  readonly #far: Socket;
  readonly #requests: Pipe;
  readonly #answers: Pipe;
  /** Whether something was swallowed, so that it can't go on when the path is healed. */
  #broken = false;

  constructor(route: Route, near: Socket, path: PathState, clock: DelayClock) {
    const { traffic } = route;
    const far = connectFrom(near, route);
    this.route = route;
    this.closed = Promise.all([closeOf(near), closeOf(far)]);
    this.#near = near;
    this.#far = far;
    this.#requests = new Pipe(near, far, clock, (bytes) => {
      traffic.requestBytes += bytes;
    });
    this.#answers = new Pipe(far, near, clock, (bytes) => {
      traffic.answerBytes += bytes;
    });
    this.#setDelay(path.delayMs);
    this.#delayHandshake(path.delayMs);
    if (path.dropsAnswers) this.loseAnswers();
    this.#propagateEnds();
  }

  /** Swallows all answers from now on. */
  loseAnswers(): void {
    this.#broken = true;
    this.#answers.swallow();
  }

  apply(path: PathState): void {
    const cut = path.dropsRequests || path.dropsAnswers;
    if (cut && path.reset) return this.#reset();
    if (this.#broken && !cut) return this.close();
    this.#broken = cut;
    this.#setDelay(path.delayMs);
    if (path.dropsRequests) this.#requests.swallow();
    if (path.dropsAnswers) this.#answers.swallow();
  }

  close(): void {
    this.#near.destroy();
    this.#far.destroy();
  }

  #reset(): void {
    this.#near.resetAndDestroy();
    this.#far.resetAndDestroy();
  }

  #setDelay(delayMs: number): void {
    this.#requests.delayMs = delayMs;
    this.#answers.delayMs = delayMs;
  }

  /** The source believes to be connected at once; its first data waits for the round trip that it spared. */
  #delayHandshake(delayMs: number): void {
    if (delayMs === 0) return;
    this.#requests.holdUntil(performance.now() + 2 * delayMs);
  }

  #propagateEnds(): void {
    const near = this.#near;
    const far = this.#far;
    near.on("error", () => undefined);
    near.on("end", () => this.#requests.finish("end"));
    near.on("close", () => this.#requests.finish("destroy"));
    far.on("error", (error: NodeJS.ErrnoException) => {
      if (error.syscall === "connect") near.resetAndDestroy();
    });
    far.on("end", () => this.#answers.finish("end"));
    far.on("close", () => this.#answers.finish("destroy"));
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

function closeOf(socket: Socket): Promise<void> {
  return new Promise((resolve) => socket.once("close", () => resolve()));
}
