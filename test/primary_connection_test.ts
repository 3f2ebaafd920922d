/**
 * Acquiring a connection to the primary while writes are being held for a planned
 * change of primary.
 *
 * @module
 */
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { expect } from "earl";
import { okAsync, ResultAsync } from "neverthrow";
import { clock } from "../src/kernel/clock.ts";
import type { Failure } from "../src/kernel/result_codes.ts";
import {
  type AcquireContext,
  acquirePrimary,
} from "../src/plugins/callers/primary_connection.ts";
import type { UpstreamConnection } from "../src/plugins/connections/connections.ts";
import type { Instance } from "../src/plugins/document/document.ts";
import type { GroupView } from "../src/plugins/health/health.ts";
import type { Position } from "../src/plugins/upstream/position.ts";
import { createInstance } from "./fixtures/fake_database_group.ts";
import { createGroup } from "./fixtures/fake_platform.ts";

const TIMEOUT_MS = 5_000;
const POSITION: Position = { term: 1, lsn: 1n };

/** Health whose confirmation and hold are controlled by a test; its last confirmation has expired. */
class HeldHealth {
  readonly #waiting: (() => void)[] = [];
  #held = false;
  primaryInstance: Instance;
  confirm = () => {};

  constructor(primary: Instance) {
    this.primaryInstance = primary;
  }

  view(): GroupView {
    return { confirmedAt: -Infinity, receiveLagMs: 0 } as GroupView;
  }

  primary(): ResultAsync<Instance, Failure> {
    if (!this.#held) return okAsync(this.primaryInstance);
    const released = new Promise<void>((resolve) =>
      this.#waiting.push(resolve)
    );
    return ResultAsync.fromSafePromise(
      released.then(() => this.primaryInstance),
    );
  }

  freshPosition(): ResultAsync<Position, Failure> {
    return ResultAsync.fromSafePromise(
      new Promise((resolve) => {
        this.confirm = () => resolve(POSITION);
      }),
    );
  }

  hold(): void {
    this.#held = true;
  }

  release(): void {
    this.#held = false;
    for (const resume of this.#waiting.splice(0)) resume();
  }
}

describe("acquiring a connection to the primary", () => {
  const [first, second] = [createInstance("a"), createInstance("b")];
  const group = createGroup([first, second]);

  function acquire(health: HeldHealth, used: string[]) {
    const connections = {
      acquire: ({ instance }: { readonly instance: string }) => {
        used.push(instance);
        return okAsync({} as UpstreamConnection);
      },
    };
    const context = { health, connections } as unknown as AcquireContext;
    return acquirePrimary(
      context,
      group,
      "high",
      clock.now() + TIMEOUT_MS,
    );
  }

  it("waits for the end of a hold that began during the confirmation", async () => {
    const health = new HeldHealth(first);
    const used: string[] = [];
    const acquired = acquire(health, used);
    await nextTurn();
    health.hold();
    health.confirm();
    await nextTurn();
    expect(used).toEqual([]);
    health.release();
    expect((await acquired).isOk()).toEqual(true);
    expect(used).toEqual(["a"]);
  });

  it("uses the primary that was promoted during the hold", async () => {
    const health = new HeldHealth(first);
    const used: string[] = [];
    const acquired = acquire(health, used);
    await nextTurn();
    health.hold();
    health.confirm();
    await nextTurn();
    health.primaryInstance = second;
    health.release();
    await nextTurn();
    health.confirm();
    expect((await acquired)._unsafeUnwrap().instance).toEqual("b");
    expect(used).toEqual(["b"]);
  });
});
