/**
 * A randomized run of the program on the platform's stand-ins: real processes,
 * faults from outside in series and overlapping, and what must hold checked from
 * what callers were told and what the instances hold.
 *
 * @module
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import {
  Deployment,
  type DoorMode,
  type Host,
} from "../platform/fixtures/deployment.ts";
import type { LineCaller } from "../platform/fixtures/line_caller.ts";

/** What a run found. */
export interface SoakReport {
  readonly seed: number;
  readonly acknowledged: number;
  readonly reads: number;
  readonly promotions: number;
  /** What was broken, in words; empty when all held. */
  readonly violations: readonly string[];
  /** The faults, with their times in ms. */
  readonly schedule: readonly string[];
}

/** How long a run is and how large. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly hosts: number;
  /** Whether hosts are suspended and replicas receive nothing for a while, too. */
  readonly suspensions?: boolean;
  /** Whether the store comes back from copies. */
  readonly drills?: boolean;
}

const WRITERS = 6;
const READERS = 3;

/** Largest age of a read on the route of the readers, in ms. */
const MAX_AGE_MS = 1_500;

/** Kinds of faults, without and with suspensions. */
const LAST_KIND = 6;
const LAST_KIND_WITH_SUSPENSIONS = 8;
/** The kind of a drill, drawn as the one behind the others. */
const DRILL_KIND = 9;

/** Longest time for which the store is away in a drill, in ms. */
const DRILL_AWAY_MAX_MS = 1_200;

/** Number and lengths of the suspensions in a series, and the longest time between two of them, in ms. */
const SUSPENSIONS_MIN = 20;
const SUSPENSIONS_MAX = 80;
const SUSPENSION_MIN_MS = 20;
const SUSPENSION_MAX_MS = 90;
const AWAKE_MAX_MS = 40;

/** Time from a statement's run to its answer, in ms, so that most writers have one in progress. */
const WORK_TIME_MS = 20;
const SETTLE_MS = 6_000;
const FAULT_MAX_MS = 4_500;
const PAUSE_MAX_MS = 1_500;

/** Further signals that follow the one that stops a host, and the longest time between two of them. */
const FURTHER_SIGNALS: readonly NodeJS.Signals[] = [
  "SIGHUP",
  "SIGTERM",
  "SIGTERM",
  "SIGHUP",
];
const SIGNAL_GAP_MAX_MS = 1_200;

/** Time that an unplanned fault of a host may show after its end, in ms. */
const AFTERMATH_MS = 5_000;

/** Answers that promise that nothing was kept. */
const PROMISES: ReadonlySet<string> = new Set([
  "BUSY",
  "ABORTED",
  "LAGGING",
  "READONLY",
]);

const sleep = (duration: number) =>
  new Promise((resolve) => setTimeout(resolve, duration));

/** A write that was acknowledged. */
interface Acknowledged {
  readonly turn: number;
  /** Time at which its caller had the answer, in ms. */
  readonly at: number;
  readonly term: string;
}

/** Runs once. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const deployment = await Deployment.start({
    hosts: options.hosts,
    workTime: WORK_TIME_MS,
    standingClock: options.suspensions ?? false,
  });
  try {
    return await new Soak(deployment, options).run();
  } finally {
    await deployment.stop();
  }
}

class Soak {
  readonly #deployment: Deployment;
  readonly #options: SoakOptions;
  readonly #generator: ReturnType<typeof xoroshiro128plus>;
  readonly #schedule: string[] = [];
  readonly #violations: string[] = [];
  /** Ids that were answered with a promise that nothing was kept. */
  readonly #promised = new Set<string>();
  /** Names of the hosts that are being ended and started again; one at a time does so for a host. */
  readonly #restarting = new Set<string>();
  /** Names of the hosts that are being stopped as planned. */
  readonly #stopping = new Set<string>();
  /** Names of the hosts that are being suspended; no other fault of a host begins meanwhile. */
  readonly #suspended = new Set<string>();
  /** When the last unplanned fault of a host ended, in ms; Infinity while it lasts. */
  readonly #disturbedUntil = new Map<string, number>();
  /** Acknowledged writes of each item, in order. */
  readonly #history = new Map<string, Acknowledged[]>();
  /** Writes whose connection ended without an answer in a planned stop, and the host. */
  readonly #cut = new Map<string, string>();
  readonly #begun = performance.now();
  #acknowledged = 0;
  #reads = 0;
  #over = false;
  #isDrilling = false;

  constructor(deployment: Deployment, options: SoakOptions) {
    this.#deployment = deployment;
    this.#options = options;
    this.#generator = xoroshiro128plus(options.seed);
  }

  async run(): Promise<SoakReport> {
    const callers = [
      ...[...Array(WRITERS).keys()].map((index) => this.#write(index)),
      ...[...Array(READERS).keys()].map((index) => this.#read(index)),
    ];
    while (this.#elapsed() < this.#options.seconds * 1_000) {
      await Promise.all([this.#fault(), this.#fault()]);
      await sleep(this.#draw(0, PAUSE_MAX_MS));
    }
    await sleep(SETTLE_MS);
    this.#over = true;
    await Promise.all(callers);
    await this.#check();
    const orders = await this.#deployment.promotions();
    return {
      seed: this.#options.seed,
      acknowledged: this.#acknowledged,
      reads: this.#reads,
      promotions: orders.length,
      violations: this.#violations,
      schedule: this.#schedule,
    };
  }

  #elapsed(): number {
    return performance.now() - this.#begun;
  }

  #draw(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  /** Brings one fault about, and ends it. */
  async #fault(): Promise<void> {
    const host = this.#deployment.hosts[
      this.#draw(0, this.#options.hosts - 1)
    ]!;
    const duration = this.#draw(300, FAULT_MAX_MS);
    const instance = `i-ledger-${this.#draw(0, 2)}`;
    const kind = this.#drawKind();
    const restarts = kind === 3 || kind === 4;
    if (restarts && this.#restarting.has(host.name)) return;
    if (kind <= 4 && kind >= 2 && this.#suspended.has(host.name)) return;
    const isDisturbed = this.#disturbedUntil.get(host.name) === Infinity ||
      this.#restarting.has(host.name);
    if ((kind === 7 || kind === 8) && isDisturbed) return;
    const note = (what: string) =>
      this.#schedule.push(
        `${Math.round(this.#elapsed())} ${what} for ${duration}`,
      );
    switch (kind) {
      case 0:
      case 1: {
        const action = kind === 0 ? "kill" : "darken";
        note(`${action} ${instance}`);
        await this.#deployment.order(action, instance);
        await sleep(duration);
        await this.#deployment.order("revive", instance);
        return;
      }
      case 2:
        note(`freeze ${host.name}`);
        return await this.#disturb(host, async () => {
          host.signal("SIGSTOP");
          await sleep(duration);
          host.signal("SIGCONT");
        });
      case 3:
        note(`kill ${host.name}`);
        return await this.#restart(host, async () => {
          await this.#disturb(host, async () => {
            await host.kill();
            await sleep(200);
            await host.start();
          });
        });
      case 4:
        note(`stop ${host.name}`);
        return await this.#restart(host, () => this.#stop(host));
      case DRILL_KIND:
        return await this.#drill(duration);
      case 7:
        note(`suspend ${host.name}`);
        return await this.#suspend(host, () => host.suspend(duration));
      case 8: {
        const count = this.#draw(SUSPENSIONS_MIN, SUSPENSIONS_MAX);
        const order = this.#draw(0, 1) === 0 ? "undeafen" : "deafen";
        note(`${order} instances, suspend ${host.name} ${count} times, not`);
        await this.#orderAll(order);
        await this.#suspend(host, async () => {
          for (let done = 0; done < count; done += 1) {
            await host.suspend(
              this.#draw(SUSPENSION_MIN_MS, SUSPENSION_MAX_MS),
            );
            await sleep(this.#draw(0, AWAKE_MAX_MS));
          }
        });
        return await this.#orderAll("undeafen");
      }
      default: {
        const modes: readonly DoorMode[] = ["silent", "busy", "reset", "lost"];
        const mode = modes[this.#draw(0, modes.length - 1)]!;
        const doors = this.#deployment.hosts.map(() =>
          this.#draw(0, 1) === 0 ? "up" : mode
        );
        note(`store ${doors.join(" ")}`);
        await this.#deployment.doors(...doors);
        await sleep(duration);
        await this.#deployment.doors(
          ...this.#deployment.hosts.map(() => "up" as const),
        );
      }
    }
  }

  #drawKind(): number {
    const { suspensions, drills } = this.#options;
    const last = suspensions ? LAST_KIND_WITH_SUSPENSIONS : LAST_KIND;
    const kind = this.#draw(0, drills ? last + 1 : last);
    return kind > last ? DRILL_KIND : kind;
  }

  /** Lets the store come back from a copy of chosen age; one drill at a time. */
  async #drill(age: number): Promise<void> {
    if (this.#isDrilling) return;
    this.#isDrilling = true;
    const away = this.#draw(0, DRILL_AWAY_MAX_MS);
    this.#schedule.push(
      `${
        Math.round(this.#elapsed())
      } drill with a copy of ${age}, away ${away}`,
    );
    await this.#deployment.copyStore();
    await sleep(age);
    await this.#deployment.restoreStore(away);
    this.#isDrilling = false;
  }

  async #restart(host: Host, work: () => Promise<void>): Promise<void> {
    this.#restarting.add(host.name);
    await work();
    this.#restarting.delete(host.name);
  }

  /** Runs an unplanned fault of a host. */
  async #disturb(host: Host, fault: () => Promise<void>): Promise<void> {
    this.#disturbedUntil.set(host.name, Infinity);
    await fault();
    this.#disturbedUntil.set(host.name, performance.now());
  }

  async #orderAll(action: string): Promise<void> {
    for (const { id } of await this.#deployment.members()) {
      await this.#deployment.order(action, id);
    }
  }

  async #suspend(host: Host, work: () => Promise<void>): Promise<void> {
    this.#suspended.add(host.name);
    await this.#disturb(host, work);
    this.#suspended.delete(host.name);
  }

  /** Stops a host as planned, with further signals while it stops, and starts it again. */
  async #stop(host: Host): Promise<void> {
    this.#stopping.add(host.name);
    host.signal("SIGTERM");
    const ended = host.ended();
    for (const signal of FURTHER_SIGNALS) {
      const gap = sleep(this.#draw(0, SIGNAL_GAP_MAX_MS));
      const isOver = await Promise.race([
        ended.then(() => true),
        gap.then(() => false),
      ]);
      if (isOver) break;
      host.signal(signal);
    }
    await ended;
    await host.start();
    this.#stopping.delete(host.name);
  }

  /** Notes a write whose connection ended without an answer, if only a planned stop of its host can be the cause. */
  #recordCut(id: string, name: string): void {
    const disturbedUntil = this.#disturbedUntil.get(name) ?? -Infinity;
    const isDisturbed = performance.now() < disturbedUntil + AFTERMATH_MS;
    if (this.#stopping.has(name) && !isDisturbed) this.#cut.set(id, name);
  }

  /** One caller: writes its own item and reads it back, on whichever host answers. */
  async #write(index: number): Promise<void> {
    const item = `item${index}`;
    let caller: LineCaller | undefined;
    let last = -1;
    let lastTerm = "";
    let name = "";
    for (let turn = 0; !this.#over; turn += 1) {
      const host = (index + turn) % this.#options.hosts;
      const id = `w${index}-${turn}`;
      let isSent = false;
      if (caller?.closed) caller = undefined;
      try {
        if (!caller) {
          caller = await this.#deployment.open(host, "booking");
          name = this.#deployment.hosts[host]!.name;
        }
        isSent = true;
        const answer = await caller.run(`WRITE ${item} ${turn}`, id);
        isSent = false;
        if (answer.error && PROMISES.has(answer.error)) this.#promised.add(id);
        if (!answer.error) {
          this.#acknowledged += 1;
          last = turn;
          const at = performance.now();
          lastTerm = await this.#term();
          const history = this.#history.get(item) ?? [];
          history.push({ turn, at, term: lastTerm });
          this.#history.set(item, history);
        }
        const read = await caller.run(`READ ${item}`);
        if (!read.error) {
          this.#reads += 1;
          const seen = read.rows[0] === "-" ? -1 : Number(read.rows[0]);
          // What a promotion rolls back may be missing afterwards.
          if (seen < last && await this.#term() === lastTerm) {
            this.#violations.push(
              `${id}: read ${seen} after ${last} was acknowledged in term ${lastTerm}`,
            );
          }
        }
      } catch {
        if (isSent) this.#recordCut(id, name);
        // The host or the connection is gone: the next turn takes another.
        caller?.close();
        caller = undefined;
      }
      await sleep(15);
    }
    caller?.close();
  }

  /** A caller that reads what others write, on a route that allows a certain age, each time in a session of its own. */
  async #read(index: number): Promise<void> {
    for (let turn = 0; !this.#over; turn += 1) {
      const item = `item${(index + turn) % WRITERS}`;
      const host = turn % this.#options.hosts;
      let caller: LineCaller | undefined;
      try {
        caller = await this.#deployment.open(host, "stock");
        const sentAt = performance.now();
        const { error, rows } = await caller.run(`READ ${item}`);
        if (!error) await this.#checkAge(item, Number(rows[0]), sentAt, host);
      } catch {
        // The host or the connection is gone: the next turn takes another.
      }
      caller?.close();
      await sleep(15);
    }
  }

  /** Checks that a read shows what was acknowledged longer ago than its route allows. */
  async #checkAge(
    item: string,
    seen: number,
    sentAt: number,
    host: number,
  ): Promise<void> {
    this.#reads += 1;
    const owed = this.#history.get(item)?.findLast(({ at }) =>
      at < sentAt - MAX_AGE_MS
    );
    // A read that shows no write at all is not a number.
    if (!owed || seen >= owed.turn) return;
    if (await this.#term() !== owed.term) return;
    this.#violations.push(
      `${item} at ${
        Math.round(sentAt - this.#begun)
      }: host-${host} read ${seen}, ${owed.turn} was acknowledged ${
        Math.round(sentAt - owed.at)
      } ms before`,
    );
  }

  /** The highest term of the group. */
  async #term(): Promise<string> {
    const members = await this.#deployment.members();
    return String(Math.max(...members.map(({ term }) => term)));
  }

  async #check(): Promise<void> {
    const members = await this.#deployment.members();
    const leading = members.filter(({ role }) => role === "primary")
      .sort((a, b) => b.term - a.term)[0];
    if (!leading) return void this.#violations.push("no primary at the end");
    const counts = new Map<string, number>();
    for (const { writes } of leading.log) {
      for (const { id } of writes) counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    for (const [id, count] of counts) {
      if (count > 1) this.#violations.push(`${id} took effect ${count} times`);
      if (this.#promised.has(id)) {
        this.#violations.push(
          `${id} was kept though it was refused as not run`,
        );
      }
    }
    for (const [id, name] of this.#cut) {
      if (!counts.has(id)) continue;
      this.#violations.push(
        `${id} was run, and a planned stop of ${name} cut its caller off`,
      );
    }
    const tokens = (await this.#deployment.promotions())
      .map(({ token }) => token);
    const sorted = [...tokens].sort((a, b) => a - b);
    if (tokens.join() !== sorted.join()) {
      this.#violations.push(`tokens went back: ${tokens.join(" ")}`);
    }
  }
}
