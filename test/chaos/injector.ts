/**
 * Carries out the faults of a schedule on a stack, and heals them.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Fault } from "../../standins/network/faults.ts";
import type { Stack } from "../../standins/stack/stack.ts";
import { PLATFORM_ZONE } from "../../standins/stack/plan.ts";
import { preferPrimary } from "../support/documents.ts";
import type { FaultKind, PlannedFault } from "./schedule.ts";

const DATABASE = "booking";
/** Log behind the primary at which a restarted replica counts as whole again. */
const HEALTHY_CHECK_TIMEOUT_MS = 2_000;

interface InstanceState {
  readonly name: string;
  readonly role: string;
  readonly term: number;
  readonly received: bigint;
}

/** Injects faults; those under way are kept so that they can overlap. */
export class Injector {
  readonly #stack: Stack;
  readonly #report: (text: string) => void;
  readonly #networkFaults = new Set<Fault>();
  readonly #busy = new Set<string>();
  readonly #healing: Promise<void>[] = [];

  constructor(stack: Stack, report: (text: string) => void) {
    this.#stack = stack;
    this.#report = report;
  }

  /** Begins a fault; it heals by itself after its duration. */
  inject(fault: PlannedFault): void {
    this.#healing.push(
      this.#run(fault).catch((error) =>
        this.#report(`${fault.kind}: ${String(error)}`)
      ),
    );
  }

  /** Resolves when all faults are healed. */
  async healed(): Promise<void> {
    await Promise.all(this.#healing);
  }

  #run(fault: PlannedFault): Promise<void> {
    const { duration, choice } = fault;
    const actions: Record<FaultKind, () => Promise<void>> = {
      "kill primary": () => this.#killInstance("primary", fault),
      "kill replica": () => this.#killInstance("replica", fault),
      "freeze primary": () => this.#freezeInstance("primary", fault),
      "freeze replica": () => this.#freezeInstance("replica", fault),
      "kill proxy": () => this.#endProxy(fault, "kill"),
      "stop proxy": () => this.#endProxy(fault, "stop"),
      "freeze proxy": () => this.#freeze(this.#proxy(choice), fault),
      "cut zone": () =>
        this.#cut(fault, {
          kind: "cut",
          from: { zone: this.#zone(choice) },
          to: { outside: this.#zone(choice) },
        }),
      "cut zone one way": () =>
        this.#cut(fault, {
          kind: "cut",
          from: { zone: this.#zone(choice) },
          to: { outside: this.#zone(choice) },
          ways: "one",
        }),
      "cut zone from platform": () =>
        this.#cut(fault, {
          kind: "cut",
          from: { zone: this.#zone(choice) },
          to: { zone: PLATFORM_ZONE },
        }),
      "cut primary from replicas": () => this.#isolatePrimary(fault),
      "platform down": () =>
        this.#platform(fault, { down: true }, { down: false }),
      "platform slow": () =>
        this.#platform(fault, { delayMs: 1_500 }, { delayMs: 0 }),
      "lose platform replies": () =>
        this.#platform(fault, { loseReply: 3 }, { loseReply: 0 }),
      "replica lag": () => this.#lag(fault),
      "promote document": () => this.#promote(1),
      "race of operators": () => this.#promote(3),
      "plan change of primary": () => this.#planChange(choice),
    };
    this.#report(`${fault.at} ms: ${fault.kind}, ${duration} ms, ${choice}`);
    return actions[fault.kind]();
  }

  /** Kills an instance of a whole group only: the stand-ins keep no log over a restart, and two at a time would be two lost disks. */
  async #killInstance(
    role: string,
    { duration, choice }: PlannedFault,
  ): Promise<void> {
    if (this.#busy.has("instance")) {
      return this.#report("skipped: an instance is down");
    }
    this.#busy.add("instance");
    try {
      if (!await this.#isWhole()) {
        return this.#report("skipped: the group is not whole");
      }
      const name = await this.#instanceOf(role, choice);
      if (!name) return;
      await this.#stack.killInstance(name);
      await sleep(duration);
      await this.#restart(name);
    } finally {
      this.#busy.delete("instance");
    }
  }

  async #restart(name: string): Promise<void> {
    for (;;) {
      if (await this.#stack.findPrimary(DATABASE)) break;
      await sleep(200);
    }
    await this.#stack.restartInstance(name);
    while (!await this.#isWhole()) await sleep(200);
  }

  async #freezeInstance(role: string, fault: PlannedFault): Promise<void> {
    const name = await this.#instanceOf(role, fault.choice);
    if (name) await this.#freeze(name, fault);
  }

  async #freeze(name: string, { duration }: PlannedFault): Promise<void> {
    if (this.#busy.has(name)) return this.#report(`skipped: ${name} is down`);
    this.#busy.add(name);
    this.#stack.process(name).suspend();
    await sleep(duration);
    this.#stack.process(name).resume();
    this.#busy.delete(name);
  }

  async #endProxy(
    { duration, choice }: PlannedFault,
    how: "kill" | "stop",
  ): Promise<void> {
    const name = this.#proxy(choice);
    if (this.#busy.has(name)) return this.#report(`skipped: ${name} is down`);
    this.#busy.add(name);
    if (how === "kill") await this.#stack.process(name).kill();
    else await this.#stack.stopProxy(name);
    await sleep(duration);
    await this.#stack.startProxy(name);
    this.#busy.delete(name);
  }

  async #cut({ duration }: PlannedFault, fault: Fault): Promise<void> {
    this.#networkFaults.add(fault);
    await this.#stack.setNetworkFaults([...this.#networkFaults]);
    await sleep(duration);
    this.#networkFaults.delete(fault);
    await this.#stack.setNetworkFaults([...this.#networkFaults]);
  }

  async #isolatePrimary(fault: PlannedFault): Promise<void> {
    const primary = await this.#stack.findPrimary(DATABASE);
    if (!primary) return;
    const { zone } = primary.instance;
    // The proxies of its zone still reach it; nothing else does.
    await this.#cut(fault, {
      kind: "cut",
      from: { zone },
      to: { outside: zone },
    });
  }

  async #platform(
    { duration, choice }: PlannedFault,
    begin: { down?: boolean; delayMs?: number; loseReply?: number },
    end: { down?: boolean; delayMs?: number; loseReply?: number },
  ): Promise<void> {
    const services = ["tableService", "objectStore", "hostList"] as const;
    const service = services[choice % services.length]!;
    await this.#stack.setPlatformFaults(service, begin);
    await sleep(duration);
    await this.#stack.setPlatformFaults(service, end);
  }

  async #lag({ duration, choice }: PlannedFault): Promise<void> {
    const name = await this.#instanceOf("replica", choice);
    if (!name) return;
    await this.#stack.query(name, "SELECT * FROM marjoramshed_lag(0, 2000)");
    await sleep(duration);
    await this.#stack.query(name, "SELECT * FROM marjoramshed_lag(0, 0)");
  }

  async #promote(operators: number): Promise<void> {
    const text = `${this.#stack.document}\n# ${Math.random()}\n`;
    const attempts = Array.from(
      { length: operators },
      (_, index) => this.#stack.promote(`${text}# operator ${index}\n`),
    );
    const results = await Promise.allSettled(attempts);
    const won = results.filter((result) => result.status === "fulfilled");
    this.#report(`promoted by ${won.length} of ${operators} operators`);
  }

  async #planChange(choice: number): Promise<void> {
    const names = this.#names();
    const wanted = names[choice % names.length]!;
    const text = preferPrimary(this.#stack.document, DATABASE, wanted);
    await this.#stack.promote(text);
  }

  async #isWhole(): Promise<boolean> {
    const states = await this.#states();
    const primary = states.find((item) => item.role === "primary");
    if (!primary || states.length < this.#names().length) return false;
    return states.every((item) =>
      item.term === primary.term && item.role !== "fenced" &&
      item.received >= primary.received
    );
  }

  async #instanceOf(role: string, choice: number): Promise<string | undefined> {
    const states = await this.#states();
    const found = states.filter((item) => item.role === role);
    return found[choice % Math.max(1, found.length)]?.name;
  }

  async #states(): Promise<readonly InstanceState[]> {
    const answers = await Promise.all(
      this.#names().map(async (name) => {
        const asked = this.#stack.query(
          name,
          "SELECT * FROM marjoramshed_status()",
        )
          .catch(() => []);
        const late = sleep(HEALTHY_CHECK_TIMEOUT_MS, [], { ref: false });
        const row = (await Promise.race([asked, late]))[0] as
          | Record<string, unknown>
          | undefined;
        if (!row) return undefined;
        return {
          name,
          role: String(row["role"]),
          term: Number(row["last_term"]),
          received: BigInt(String(row["received"])),
        };
      }),
    );
    return answers.filter((item) => item !== undefined);
  }

  #names(): readonly string[] {
    return this.#stack.plan.instances.map((item) => item.name);
  }

  #proxy(choice: number): string {
    const { proxies } = this.#stack.plan;
    return proxies[choice % proxies.length]!.name;
  }

  #zone(choice: number): string {
    const { zones } = this.#stack.plan;
    return zones[choice % zones.length]!;
  }
}
