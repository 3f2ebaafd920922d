/**
 * The idle connections of a pool. The most recently used one is reused first, so
 * that surplus connections stay unused and reach their idle timeout.
 *
 * @module
 */
import type { PoolMember } from "./pool_member.ts";

/** Idle connections, ordered by time of last use. */
export class IdleStack<Member extends PoolMember> {
  readonly #connections: Member[] = [];

  get size(): number {
    return this.#connections.length;
  }

  /** Adds a connection and watches it for unexpected data or its end. */
  push(connection: Member): void {
    this.#connections.push(connection);
    connection.watchIdle();
  }

  /** Removes and returns the most recently used connection; destroys unusable ones on the way. */
  pop(): Member | undefined {
    for (;;) {
      const connection = this.#connections.pop();
      if (!connection || connection.isUsable) return connection;
      connection.destroy();
    }
  }

  /** Removes and returns the least recently used connection if it was last used before `before` (monotonic ms). */
  removeLeastRecent(before = Infinity): Member | undefined {
    const oldest = this.#connections[0];
    if (!oldest || oldest.lastUsedAt >= before) return undefined;
    return this.#connections.shift();
  }

  /** Removes a connection; returns false if it was not idle. */
  remove(connection: Member): boolean {
    const index = this.#connections.indexOf(connection);
    if (index < 0) return false;
    this.#connections.splice(index, 1);
    return true;
  }
}
