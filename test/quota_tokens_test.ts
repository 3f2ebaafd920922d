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

const HOST_COUNT = 3;
const COORDINATOR_COUNT = 2;
const ACCOUNT = {
  name: "a",
  id: "a",
  quota: createQuota({ rate: 100, burst: 100 })!,
};

interface Step {
  readonly kind: "ask" | "delegate" | "release" | "spend" | "restart";
  /** Time before the step, in ms. */
  readonly pause: number;
  readonly host: number;
  readonly coordinator: number;
  /** Operations that wait for the answer. */
  readonly operations: number;
  /** Delays of the request and of its answer in ms; undefined if they are lost. */
  readonly there: number | undefined;
  readonly back: number | undefined;
  /** Delay of a second copy of the request. */
  readonly copy: number | undefined;
  /** Whether the host learns that a lost request was not received. */
  readonly isReported: boolean;
  /** Whether all hosts use all tokens that they have when the answer arrives. */
  readonly spends: boolean;
}

const choose = <T>(...choices: readonly (readonly [number, T])[]) =>
  fc.oneof(
    ...choices.map(([weight, value]) => ({
      weight,
      arbitrary: fc.constant(value),
    })),
  );
// The times lie around the ends of a delegation and of a token's life.
const step: fc.Arbitrary<Step> = fc.record({
  kind: choose<Step["kind"]>(
    [4, "ask"],
    [8, "delegate"],
    [2, "release"],
    [3, "spend"],
    [1, "restart"],
  ),
  pause: choose([6, 0], [3, 10], [2, 390], [2, 410], [2, 590], [3, 990]),
  host: fc.nat(HOST_COUNT - 1),
  coordinator: choose([3, 0], [1, 1]),
  operations: choose([3, 0], [1, 20], [2, 300]),
  there: choose([6, 0], [1, 390], [1, 1_500], [1, undefined]),
  back: choose([5, 0], [2, 390], [1, 1_500], [1, undefined]),
  copy: choose([5, undefined], [1, 30], [1, 410], [1, 1_500]),
  isReported: fc.boolean(),
  spends: fc.boolean(),
});

const GREETING: Step = {
  kind: "ask",
  pause: 0,
  host: 0,
  coordinator: 0,
  operations: 0,
  there: 0,
  back: 0,
  copy: undefined,
  isReported: false,
  spends: false,
};
const PRELUDE = Array.from(
  { length: HOST_COUNT * COORDINATOR_COUNT },
  (_, index) => ({
    ...GREETING,
    host: index % HOST_COUNT,
    coordinator: Math.floor(index / HOST_COUNT),
  }),
);

/** Plays steps with all parts in use; returns the most operations in any time beyond what the quota gives. */
function play(steps: readonly Step[]): number {
  let now = 0;
  let lives = 0;
  const admitted: number[] = [];
  const messages: { readonly at: number; readonly run: () => void }[] = [];
  const hosts = Array.from({ length: HOST_COUNT }, () => {
    const part = new Part(() => false);
    part.setShare(1 / HOST_COUNT, [ACCOUNT], 0);
    const contacts = new Map<
      number,
      { life: string; stamp: number; receivedAt: number }
    >();
    return { part, queue: new AccountQueue(ACCOUNT), contacts, sequence: 0 };
  });
  const surroundings = {
    reserved: () => new Set<string>(),
    liveShare: () => 1,
    requestParts: () => false,
  };
  const createCoordinator = (number: number) => {
    // Each run of a process has its own clock; that of a later run is behind.
    const offset = number * 123_456 - lives * 300;
    const life = `${number}-${lives += 1}`;
    const clock = () => now + offset;
    const coordinator = new ShardCoordinator(
      life,
      [ACCOUNT],
      surroundings,
      clock(),
    );
    return { life, clock, coordinator };
  };
  const coordinators = Array.from(
    { length: COORDINATOR_COUNT },
    (_, number) => createCoordinator(number),
  );
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
  const send = (after: number | undefined, run: () => void) =>
    after !== undefined && messages.push({ at: now + after, run });

  const serve = ({ queue, part }: typeof hosts[number]) =>
    queue.serve(now, () => queue.take(now) || part.take(ACCOUNT, now));
  const enqueue = (queue: AccountQueue, count: number) => {
    for (let done = queue.waiting; done < count; done += 1) {
      queue.enqueue((failure) => failure ?? admitted.push(now), Infinity);
    }
    // Some tokens are to be kept in stock.
    for (let done = 0; done < 30; done += 1) queue.recordDemand(now);
  };
  const spendAll = () => {
    for (const { queue, part } of hosts) {
      while (queue.take(now) || part.take(ACCOUNT, now)) admitted.push(now);
    }
  };
  const ask = (item: Step, number: number) => {
    const host = hosts[item.host]!;
    const { part, queue } = host;
    const contact = host.contacts.get(number);
    const lender = contact && `${number}/${contact.life}`;
    if (item.kind === "release" && !lender) return;
    const delegates = item.kind === "delegate" && lender !== undefined &&
      part.mayDelegate(lender, now);
    const delegation = delegates
      ? part.delegate(lender, [ACCOUNT], now)
      : undefined;
    const want = item.kind === "release"
      ? undefined
      : queue.want(lender ?? "", now);
    const sentAt = now;
    const { delegations } = part;
    const unchanged = item.kind === "release" ? RELEASED : UNCHANGED;
    const body = formatAsk({
      shard: "1:0",
      life: "x",
      sequence: host.sequence += 1,
      coordinatorLife: contact?.life ?? "",
      parts: delegation ? HOST_COUNT : unchanged,
      sentAt: contact ? contact.stamp + now - contact.receivedAt : 0,
      handover: delegation?.handover,
      wants: want ? [want] : [],
    });
    const text = JSON.stringify(body);
    const handle = () => {
      const { coordinator, clock } = coordinators[number]!;
      const request = parseAsk(JSON.parse(text))!;
      const answer = coordinator.handle(`h${item.host}`, request, clock());
      return answer &&
        { text: JSON.stringify(formatAnswer(answer)), stamp: clock() };
    };
    const { there, back } = item;
    let isEnded = false;
    const end = () => {
      if (want && !isEnded) queue.endRequest(want);
      isEnded = true;
    };
    send(there, () => {
      const reply = handle();
      send(back, () => {
        end();
        const answer = reply && parseAnswer(JSON.parse(reply.text));
        if (!answer) return;
        const { life, handover } = answer;
        host.contacts.set(number, {
          life,
          stamp: reply.stamp,
          receivedAt: now,
        });
        if (handover && `${number}/${life}` === lender) {
          part.release(lender, handover, delegations, now);
        }
        if (!want) return;
        const { granted = 0, extended = true } = answer.grants[0] ?? {};
        queue.receive({
          lender: `${number}/${life}`,
          want,
          granted,
          extended,
          requestedAt: sentAt,
        }, now);
        serve(host);
        if (item.spends) spendAll();
      });
    });
    if (there !== undefined) send(item.copy, handle);
    else if (item.isReported) send(30, () => delegation?.undo());
    send(2_500, end);
  };

  // The parts are full, and the hosts know the coordinators.
  advance(3_000);
  for (const prelude of PRELUDE) ask(prelude, prelude.coordinator);
  for (const item of steps) {
    advance(now + item.pause);
    if (item.kind === "restart") {
      coordinators[item.coordinator] = createCoordinator(item.coordinator);
      continue;
    }
    const host = hosts[item.host]!;
    if (item.kind === "spend") {
      spendAll();
      continue;
    }
    if (item.kind !== "release") enqueue(host.queue, item.operations);
    ask(item, item.coordinator);
  }
  advance(now + 3_000);

  const { rate, capacity } = ACCOUNT.quota;
  let least = Infinity;
  let most = 0;
  for (const [index, at] of admitted.entries()) {
    // Operations beyond the rate since any earlier one.
    const beyond = index - rate * at / 1_000;
    least = Math.min(least, beyond);
    most = Math.max(most, beyond - least + 1);
  }
  return most - capacity;
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
