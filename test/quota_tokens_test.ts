/**
 * The decisions of hosts and coordinators without their timing: whatever is
 * asked, delayed, lost or repeated, no more tokens exist than the quota allows.
 *
 * @module
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { AccountQueue } from "../src/plugins/quotas/account_queue.ts";
import type { Contact } from "../src/plugins/quotas/coordinator_search.ts";
import { createQuota } from "../src/plugins/quotas/limited_accounts.ts";
import {
  formatAnswer,
  formatAsk,
  parseAnswer,
  parseAsk,
  RELEASED,
  UNCHANGED,
} from "../src/plugins/quotas/messages.ts";
import { Part } from "../src/plugins/quotas/part.ts";
import { ShardCoordinator } from "../src/plugins/quotas/shard_coordinator.ts";

const HOSTS = [0, 1, 2];
const COORDINATORS = [0, 1];
const QUOTA = createQuota({ rate: 100, burst: 100 })!;
const ACCOUNT = { name: "a", id: "a", quota: QUOTA };

const choose = <T>(...choices: readonly (readonly [number, T])[]) =>
  fc.oneof(...choices.map(([weight, value]) => ({
    weight,
    arbitrary: fc.constant(value),
  })));

// The times lie around the ends of a delegation and of a token's life.
const step = fc.record({
  kind: choose(
    [4, "ask"],
    [8, "delegate"],
    [2, "release"],
    [3, "spend"],
    [1, "restart"],
  ),
  /** Time before the step, in ms. */
  pause: choose([6, 0], [3, 10], [2, 390], [2, 410], [2, 590], [3, 990]),
  host: fc.constantFrom(...HOSTS),
  coordinator: choose([3, 0], [1, 1]),
  /** Operations that wait for the answer. */
  operations: choose([3, 0], [1, 20], [2, 300]),
  /** Delays of the request and of its answer in ms; -1 if they are lost. */
  there: choose([6, 0], [1, 390], [1, 1_500], [1, -1]),
  back: choose([5, 0], [2, 390], [1, 1_500], [1, -1]),
  /** Delay of a second copy of the request; -1 if there is none. */
  copy: choose([5, -1], [1, 30], [1, 410], [1, 1_500]),
  /** Whether the host learns that a lost request was not received. */
  isReported: fc.boolean(),
  /** Whether all hosts use all tokens that they have when the answer arrives. */
  spends: fc.boolean(),
});
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** Plays steps with all parts in use; returns the most operations in any time beyond what the quota gives. */
function play(steps: readonly Step[]): number {
  let now = 0;
  let lives = 0;
  const admitted: number[] = [];
  const messages: { readonly at: number; readonly run: () => void }[] = [];
  const send = (delay: number, run: () => void) =>
    delay >= 0 && messages.push({ at: now + delay, run });
  const advance = (to: number) => {
    for (;;) {
      messages.sort((left, right) => left.at - right.at);
      if (!messages[0] || messages[0].at > to) break;
      const { at, run } = messages.shift()!;
      now = Math.max(now, at);
      run();
    }
    now = to;
  };

  const hosts = HOSTS.map(() => {
    const part = new Part(() => false);
    part.setShare(1 / HOSTS.length, [ACCOUNT], 0);
    const contacts = new Map<number, Contact>();
    return { part, queue: new AccountQueue(ACCOUNT), contacts, sequence: 0 };
  });
  const createCoordinator = (number: number) => {
    // Each run of a process has its own clock; that of a later run is behind.
    const offset = number * 123_456 - lives * 300;
    const life = `${number}-${lives += 1}`;
    const clock = () => now + offset;
    const coordinator = new ShardCoordinator(life, [ACCOUNT], {
      reserved: () => new Set<string>(),
      liveShare: () => 1,
      requestParts: () => false,
    }, clock());
    return { clock, coordinator };
  };
  const coordinators = COORDINATORS.map(createCoordinator);

  const spendAll = () => {
    for (const { queue, part } of hosts) {
      while (queue.take(now) || part.take(ACCOUNT, now)) admitted.push(now);
    }
  };
  const ask = (item: Step) => {
    const { coordinator: number, there, back } = item;
    const host = hosts[item.host]!;
    const { part, queue, contacts } = host;
    const contact = contacts.get(number);
    const lender = contact && `${number}/${contact.life}`;
    const releases = item.kind === "release";
    if (releases && !lender) return;
    const sentAt = now;
    const { delegations } = part;
    const delegation = item.kind === "delegate" && lender !== undefined &&
        part.mayDelegate(lender, now)
      ? part.delegate(lender, [ACCOUNT], now)
      : undefined;
    const want = releases ? undefined : queue.want(lender ?? "", now);
    const text = JSON.stringify(formatAsk({
      shard: "1:0",
      life: "x",
      sequence: host.sequence += 1,
      coordinatorLife: contact?.life ?? "",
      parts: delegation ? HOSTS.length : releases ? RELEASED : UNCHANGED,
      sentAt: contact ? contact.stamp + now - contact.receivedAt : 0,
      handover: delegation?.handover,
      wants: want ? [want] : [],
    }));
    const handle = () => {
      const { coordinator, clock } = coordinators[number]!;
      const request = parseAsk(JSON.parse(text))!;
      const answer = coordinator.handle(`${item.host}`, request, clock());
      const reply = JSON.stringify(answer ? formatAnswer(answer) : null);
      return { reply, stamp: clock() };
    };
    let isEnded = false;
    const end = () => {
      if (want && !isEnded) queue.endRequest(want);
      isEnded = true;
    };
    const receive = ({ reply, stamp }: ReturnType<typeof handle>) => {
      end();
      const answer = parseAnswer(JSON.parse(reply));
      if (!answer) return;
      const { life, handover, grants } = answer;
      contacts.set(number, { life, stamp, receivedAt: now });
      const giver = `${number}/${life}`;
      if (handover && giver === lender) {
        part.release(giver, handover, delegations, now);
      }
      if (!want) return;
      const { granted = 0, extended = true } = grants[0] ?? {};
      const requestedAt = sentAt;
      queue.receive(
        { lender: giver, want, granted, extended, requestedAt },
        now,
      );
      queue.serve(now, () => queue.take(now) || part.take(ACCOUNT, now));
      if (item.spends) spendAll();
    };
    send(there, () => {
      const reply = handle();
      send(back, () => receive(reply));
    });
    if (there >= 0) send(item.copy, handle);
    else if (item.isReported) send(30, () => delegation?.undo());
    send(2_500, end);
  };

  // The parts are full, and the hosts know the coordinators.
  advance(3_000);
  const greeting = { kind: "ask", pause: 0, operations: 0, there: 0, back: 0 };
  for (const host of HOSTS) {
    for (const coordinator of COORDINATORS) {
      const rest = { copy: -1, isReported: false, spends: false };
      ask({ ...greeting, ...rest, host, coordinator });
    }
  }
  for (const item of steps) {
    advance(now + item.pause);
    const { queue } = hosts[item.host]!;
    if (item.kind === "spend") spendAll();
    else if (item.kind === "restart") {
      coordinators[item.coordinator] = createCoordinator(item.coordinator);
    } else {
      while (item.kind !== "release" && queue.waiting < item.operations) {
        queue.enqueue((failure) => failure ?? admitted.push(now), Infinity);
      }
      // Some tokens are to be kept in stock.
      for (let done = 0; done < 30; done += 1) queue.recordDemand(now);
      ask(item);
    }
  }
  advance(now + 3_000);

  let least = Infinity;
  let most = 0;
  for (const [index, at] of admitted.entries()) {
    // Operations beyond the rate since any earlier one.
    const beyond = index - QUOTA.rate * at / 1_000;
    least = Math.min(least, beyond);
    most = Math.max(most, beyond - least + 1);
  }
  return most - QUOTA.capacity;
}

describe("tokens of an account", () => {
  // Guards against tokens that are in two places, come back, or outlive their delegation.
  it("never exceed the capacity and what the rate gives, whatever happens to messages", () => {
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 5, maxLength: 40 }),
        (steps) => expect(play(steps)).toBeLessThanOrEqual(0.01),
      ),
      {
        numRuns: Number(process.env["QUOTA_RUNS"] ?? 8_000),
        seed: Number(process.env["QUOTA_SEED"] ?? 1),
      },
    );
  });
});
