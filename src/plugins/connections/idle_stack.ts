/**
 * The idle connections of a pool. The one used last is lent first, so that the
 * ones that are not needed grow old at the other end.
 *
 * @module
 */
import type { PoolMember } from "./pool_member.ts";

/** Idle connections, by time of use. */
export class IdleStack<Member extends PoolMember> {
  readonly #connections: Member[] = [];

  get size(): number {
    return this.#connections.length;
  }

  /** Adds a connection and watches it. */
  push(connection: Member): void {
    this.#connections.push(connection);
    connection.watchIdle();
  }

  /** Takes out the connection used last; destroys those found unsound. */
  pop(): Member | undefined {
    for (;;) {
      const connection = this.#connections.pop();
      if (!connection || connection.isUsable) return connection;
      connection.destroy();
    }
  }

  /** Takes out the connection used first, when it was last used before the time. */
  shiftUnused(before = Infinity): Member | undefined {
    const oldest = this.#connections[0];
    if (!oldest || oldest.lastUsedAt >= before) return undefined;
    return this.#connections.shift();
  }

  /** Takes out a connection; false when it was not idle. */
  remove(connection: Member): boolean {
    const index = this.#connections.indexOf(connection);
    if (index < 0) return false;
    this.#connections.splice(index, 1);
    return true;
  }
}
