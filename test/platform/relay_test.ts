import { describe, it } from "node:test";
import { expect } from "earl";
import { clock } from "../../src/kernel/clock.ts";
import { CoveredQuestions } from "../../src/plugins/relay/covered_questions.ts";
import { LEASE_MS } from "../../src/plugins/leadership/group_leadership.ts";
import {
  type RelayCandidate,
  RelayChoice,
} from "../../src/plugins/relay/relay_choice.ts";
import { RowHistory } from "../../src/plugins/relay/row_history.ts";
import { Rows } from "../../standins/metadata_store/rows.ts";
import { RelayZones } from "./fixtures/relay_zones.ts";
import { runInVirtualTime } from "./fixtures/virtual_time.ts";

const ZONE_COUNT = 6;

const settle = () => new Promise((resolve) => setImmediate(resolve));

describe("the choice of a relay", () => {
  const candidates = (count: number): readonly RelayCandidate[] =>
    Array.from({ length: count }, (_, index) => ({
      name: `h${index}`,
      address: `h${index}:1`,
      zone: "a",
    }));
  const choiceOf = (proxy: string, proxies: readonly RelayCandidate[]) =>
    new RelayChoice({ proxy, zone: "a", proxies: () => proxies });

  it("is none in a zone of two proxies", () => {
    expect(choiceOf("h0", candidates(2)).choose()).toEqual(undefined);
  });

  for (const [count, relays] of [[13, 1], [50, 1], [371, 6]] as const) {
    it(`names ${relays} of ${count} proxies, which choose none themselves`, () => {
      const proxies = candidates(count);
      const chosen = proxies.map(({ name }) =>
        choiceOf(name, proxies).choose()?.name
      );
      const named = new Set(chosen.filter((name) => name !== undefined));
      expect(named.size).toEqual(relays);
      const without = proxies.filter((_, index) => chosen[index] === undefined);
      expect(new Set(without.map(({ name }) => name))).toEqual(named);
    });
  }

  it("does not cross zones", () => {
    const proxies = candidates(13).map((item, index) => ({
      ...item,
      zone: index < 3 ? "a" : "b",
    }));
    const chosen = choiceOf("h0", proxies).choose(0);
    expect(["h1", "h2", undefined].includes(chosen?.name)).toEqual(true);
  });

  it("falls to the spare after a failure, then to none, and returns after a while", () => {
    const proxies = candidates(13);
    const names = proxies.map(({ name }) => name);
    const relay = choiceOf("h0", proxies).choose(0)?.name ??
      choiceOf("h1", proxies).choose(0)!.name;
    const proxy = names.find((name) => name !== relay)!;
    const choice = choiceOf(proxy, proxies);
    choice.recordFailure(relay, "silent", 0);
    const spare = choice.choose(0);
    if (spare) {
      expect(spare.name === relay).toEqual(false);
      choice.recordFailure(spare.name, "silent", 0);
    }
    expect(choice.choose(0)).toEqual(undefined);
    expect(choice.choose(2_000)?.name).toEqual(relay);
  });

  describe("while the store does not answer this proxy", () => {
    const proxies = candidates(12).map((item, index) => ({
      ...item,
      zone: ["a", "b", "c", "d"][index % 4],
    }));
    const zoneOf = (name: string | undefined) =>
      proxies.find((item) => item.name === name)?.zone;

    it("is of other zones once those of its own have failed", () => {
      const choice = choiceOf("h0", proxies);
      choice.recordStoreFailure(0);
      const zones: (string | undefined)[] = [];
      for (let relay = choice.choose(0); relay; relay = choice.choose(0)) {
        zones.push(zoneOf(relay.name));
        choice.recordFailure(relay.name, "unconfirmed", 0);
      }
      const remote = zones.filter((zone) => zone !== "a");
      expect(remote.length).toEqual(2);
      expect(new Set(remote).size).toEqual(2);
      expect(zones.slice(-2)).toEqual(remote);
    });

    it("remains while others ask this proxy, and ends with an answer of the store", () => {
      const choice = choiceOf("h0", proxies);
      choice.recordStoreFailure(1_000);
      choice.recordQuestion(1_000);
      expect(choice.choose(1_100) === undefined).toEqual(false);
      choice.recordStoreAnswer(900);
      expect(choice.isDetour).toEqual(true);
      choice.recordStoreAnswer(1_200);
      expect(choice.isDetour).toEqual(false);
      expect(choice.choose(1_300)).toEqual(undefined);
    });

    it("probes the store at growing intervals", () => {
      const choice = choiceOf("h0", proxies);
      let now = 0;
      const pauses: number[] = [];
      for (let failure = 0; failure < 5; failure += 1) {
        choice.recordStoreFailure(now);
        const before = now;
        while (!choice.isProbeDue(now)) now += 10;
        pauses.push(now - before);
      }
      expect(pauses[0]!).toBeLessThanOrEqual(2_510);
      expect(pauses.at(-1)!).toBeGreaterThanOrEqual(6_000);
      expect(pauses.at(-1)!).toBeLessThanOrEqual(10_010);
    });
  });

  it("is none while others ask this proxy", () => {
    const proxies = candidates(13);
    const proxy = proxies.find(({ name }) =>
      choiceOf(name, proxies).choose(0) !== undefined
    )!;
    const choice = choiceOf(proxy.name, proxies);
    choice.recordQuestion(0);
    expect(choice.choose(100)).toEqual(undefined);
    expect(choice.choose(60_000) === undefined).toEqual(false);
  });
});

describe("a question to a relay", () => {
  it("is not answered by a call that began before it arrived", async () => {
    const questions = new CoveredQuestions();
    const endFirst = questions.beginCall();
    let covered: boolean | undefined;
    void questions.wait(1_000).then((value) => covered = value);
    endFirst(true);
    await settle();
    expect(covered).toEqual(undefined);
    questions.beginCall()(true);
    await settle();
    expect(covered).toEqual(true);
  });

  it("is not confirmed by a call that failed", async () => {
    const questions = new CoveredQuestions();
    const answer = questions.wait(1_000);
    questions.beginCall()(false);
    expect(await answer).toEqual(false);
  });

  it("that arrives during a call is expected to wait for its rest and the next one", async () => {
    const questions = new CoveredQuestions();
    expect(questions.expectedWait()).toEqual(0);
    const end = questions.beginCall();
    await new Promise((resolve) => setTimeout(resolve, 30));
    end(true);
    const between = questions.expectedWait();
    expect(between).toBeGreaterThanOrEqual(25);
    const startedAt = clock.now();
    questions.beginCall();
    expect(questions.expectedWait(startedAt)).toBeGreaterThanOrEqual(
      1.9 * between,
    );
    expect(questions.expectedWait(startedAt + 10_000)).toEqual(between);
  });

  it("is answered without confirmation at its timeout", async () => {
    expect(await new CoveredQuestions().wait(5)).toEqual(false);
  });

  it("does not hold the next call for proxies that do not ask again", async () => {
    const questions = new CoveredQuestions();
    const answer = questions.wait(1_000);
    questions.beginCall()(true);
    await answer;
    const startedAt = clock.now();
    await questions.gather(20);
    const elapsed = clock.now() - startedAt;
    expect(elapsed > 15 && elapsed < 500).toEqual(true);
  });
});

describe("the history of a table", () => {
  const row = (key: string, version: number, value: string | null = "x") => ({
    key,
    version,
    value,
  });

  it("gives the changes after a version, deletions among them", () => {
    const history = new RowHistory();
    history.replaceAll([row("a", 1), row("b", 2)], 2);
    history.put(row("c", 3));
    history.put(row("a", 4, null));
    expect(history.since(2)).toEqual({
      complete: false,
      rows: [row("c", 3), row("a", 4, null)],
    });
    expect(history.since(1)).toEqual({
      complete: true,
      rows: [row("b", 2), row("c", 3)],
    });
  });

  it("does not go back to an earlier version of a row", () => {
    const history = new RowHistory();
    history.replaceAll([row("a", 5)], 5);
    expect(history.put(row("a", 4, null))).toEqual(false);
    expect(history.since(undefined).rows).toEqual([row("a", 5)]);
  });

  it("gives all rows to a proxy that missed forgotten deletions", () => {
    const history = new RowHistory();
    history.replaceAll([row("kept", 1)], 1);
    for (let index = 0; index < 1_100; index += 1) {
      history.put(row(`k${index}`, 2 + index, null));
    }
    expect(history.since(2).complete).toEqual(true);
    expect(history.since(2).rows).toEqual([row("kept", 1)]);
    expect(history.since(500).complete).toEqual(false);
  });
});

describe("proxies that follow one store", () => {
  /** What was seen in one second. */
  interface Second {
    /** Calls to the store up to its end. */
    readonly calls: number;
    /** Number of proxies that others asked at its end. */
    readonly relays: number;
    /** Highest age of a confirmation of the proxies that can reach the store. */
    readonly age: number;
  }

  /** Runs proxies in virtual time and returns what was seen in each second. */
  async function run(
    options: {
      readonly count: number;
      readonly end: number;
      readonly seed?: number;
    },
    disturb: (zones: RelayZones) => void = () => {},
  ): Promise<readonly Second[]> {
    const zones = new RelayZones(new Rows(), options.count, ZONE_COUNT);
    const seconds: Second[] = [];
    await runInVirtualTime(options.seed ?? 1, options.end, () => {
      for (const proxy of zones.proxies) {
        setTimeout(() => proxy.start(), 300 * Math.random());
      }
      setInterval(() => {
        const second = Math.floor(clock.now() / 1_000);
        const ages = zones.proxies
          .filter(({ frozen, way }) => !frozen && way.mode === "up")
          .map(({ age }) => age);
        seconds[second] = {
          calls: zones.storeCalls,
          relays: zones.relays.length,
          age: Math.max(seconds[second]?.age ?? 0, ...ages),
        };
      }, 50);
      disturb(zones);
    });
    return seconds;
  }

  const maxAge = (seconds: readonly Second[]) =>
    Math.max(...seconds.map(({ age }) => age));

  for (const count of [79, 300, 1_000]) {
    it(`call it at a rate that does not grow with their number (${count})`, async () => {
      const seconds = await run({ count, end: 11_500 });
      const steady = seconds.slice(8);
      const last = steady.at(-1)!;
      const expected = ZONE_COUNT * Math.ceil(count / ZONE_COUNT / 64);
      expect(last.relays).toBeLessThanOrEqual(expected);
      const rate = (last.calls - steady[0]!.calls) / (steady.length - 1);
      // The calls of a relay for its three tables.
      expect(rate / expected).toBeLessThan(3.5);
      expect(maxAge(seconds.slice(3))).toBeLessThan(LEASE_MS);
    });
  }

  for (const fault of ["frozen", "refusing", "silent"] as const) {
    it(`keep their leases while all relays are lost (${fault})`, async () => {
      for (let seed = 1; seed <= 5; seed += 1) {
        const seconds = await run(
          { count: 79, end: 16_000, seed },
          (zones) =>
            setTimeout(() => {
              const { relays } = zones;
              expect(relays.length).toEqual(ZONE_COUNT);
              for (const relay of relays) {
                if (fault === "frozen") relay.frozen = true;
                else relay.way.mode = fault;
              }
            }, 8_000),
        );
        expect(maxAge(seconds.slice(3))).toBeLessThan(LEASE_MS);
      }
    });
  }

  for (const mode of ["refusing", "silent"] as const) {
    it(`find the store again two seconds after an outage, without a rush of calls (${mode})`, async () => {
      const ages: number[] = [];
      const seconds = await run({ count: 79, end: 20_000 }, (zones) => {
        const set = (next: typeof mode | "up") => {
          for (const { way } of zones.proxies) way.mode = next;
        };
        setTimeout(() => set(mode), 8_000);
        setTimeout(() => set("up"), 13_000);
        setTimeout(() => {
          ages.push(...zones.proxies.map(({ age }) => age));
        }, 15_000);
      });
      // 79 proxies that follow three tables each, every 250 to 500 ms, made 3,200.
      expect(seconds[13]!.calls - seconds[7]!.calls).toBeLessThan(1_600);
      expect(Math.max(...ages)).toBeLessThan(LEASE_MS);
      expect(maxAge(seconds.slice(15))).toBeLessThan(LEASE_MS);
    });
  }

  it("ask each other seldom while it is away for all", async () => {
    let questions = 0;
    await run({ count: 79, end: 25_000 }, (zones) => {
      const asked = () =>
        zones.proxies.reduce((sum, proxy) => sum + proxy.questions, 0);
      setTimeout(() => {
        for (const { way } of zones.proxies) way.mode = "refusing";
      }, 8_000);
      setTimeout(() => questions -= asked(), 12_000);
      setTimeout(() => questions += asked(), 24_000);
    });
    // No more than while the store answers, when each proxy asks once a second.
    expect(questions / 12 / 79).toBeLessThan(1);
  });

  for (const mode of ["refusing", "silent"] as const) {
    for (const count of [4, 24, 79]) {
      it(`follow it through other zones while it turns a zone away (${mode}, ${count})`, async () => {
        let ages: readonly number[] = [];
        let calls = 0;
        await run({ count, end: 30_000 }, (zones) => {
          const away = zones.proxies.filter(({ zone }) => zone === "zone-0");
          const callsOf = () => away.reduce((sum, p) => sum + p.way.calls, 0);
          setTimeout(() => {
            for (const { way } of away) way.mode = mode;
          }, 8_000);
          setTimeout(() => calls -= callsOf(), 13_000);
          // The first confirmation over another zone may take longer than a lease.
          setInterval(() => {
            const now = clock.now();
            if (now < 12_000 || now > 28_000) return;
            ages = [...ages, ...away.map(({ age }) => age)];
          }, 50);
          setTimeout(() => calls += callsOf(), 28_000);
        });
        const late = ages.filter((age) => age > LEASE_MS).length;
        expect(late / ages.length).toBeLessThan(0.05);
        const proxies = Math.ceil(count / ZONE_COUNT);
        // Three tables, each at most twice a second, as by proxies that have nobody to ask.
        expect(calls / 15 / proxies).toBeLessThan(6);
      });
    }
  }

  it("receive a change within a second and a half, also a deletion", async () => {
    const put = (rows: Rows, key: string) =>
      rows.apply({
        puts: [{
          table: "servers",
          key,
          value: Buffer.from(JSON.stringify({
            service: "ledger",
            address: "10.0.0.1:1",
            zone: "zone-0",
            state: "ready",
            dbRole: "replica",
          })).toString("base64"),
        }],
      });
    const known = new Map<string, number>();
    await run({ count: 79, end: 20_000 }, (all) => {
      const count = () =>
        all.proxies.filter(({ directory }) => directory.isListed("i-1")).length;
      setTimeout(() => put(all.rows, "i-1"), 10_000);
      setTimeout(() => known.set("added", count()), 14_000);
      setTimeout(
        () => all.rows.apply({ remove: [{ table: "servers", key: "i-1" }] }),
        14_100,
      );
      setTimeout(() => known.set("removed", count()), 18_000);
    });
    expect(known.get("added")).toEqual(79);
    expect(known.get("removed")).toEqual(0);
  });
});
