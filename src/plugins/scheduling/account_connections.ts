/**
 * The connections to one instance, each of which belongs to one account from its
 * opening to its end. Those that open, are open or close never exceed the share.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import {
  type EventFields,
  type EventKind,
  Events,
} from "../../kernel/events.ts";
import type { Failure } from "../../kernel/result_codes.ts";
import type { MemberFactory } from "../connections/pool_member.ts";
import type { DirectLink } from "../upstream/link.ts";
import { AccountOpener, type FailedPart } from "./account_opener.ts";
import { IdleConnections, type KeepingRule } from "./idle_connections.ts";
import type { AccountCounts } from "./schedule_use.ts";
import { type LinkOwner, ScheduledLink } from "./scheduled_link.ts";

/** Key of what has no account: it uses connections of the proxy's own name. No account has an empty name. */
export const NO_ACCOUNT = "";

/** Time after which an unused connection is closed, in ms. An account that asks once in a while keeps its connection; the share is reserved for this proxy anyway. */
const IDLE_TIMEOUT_MS = 30_000;

/** The same for a proxy that may hold a single connection, in ms; given by the work plan. */
const LONE_IDLE_TIMEOUT_MS = 2_000;

/** Options and callbacks of the connections. */
export interface AccountConnectionsOptions {
  /** Opens a connection for an account; undefined for the proxy's own name. */
  readonly open: (
    account: string | undefined,
  ) => ResultAsync<MemberFactory<DirectLink>, Failure>;
  /** The owner of the links. */
  readonly owner: LinkOwner;
  readonly log: (kind: EventKind, fields: EventFields) => void;
  /** Called when the instance is unreachable or has closed an idle connection. */
  readonly onFailure: () => void;
  /** Called when a connection is idle, or another may be opened. */
  readonly onAvailable: () => void;
  /** Called when a connection could not be opened. */
  readonly onOpenFailed: (
    failure: Failure,
    account: string,
    part: FailedPart,
  ) => void;
  readonly counts: AccountCounts;
  /** Whether the instance has answered statements of other accounts a moment ago. */
  readonly worksForOthers: (account: string) => boolean;
}

/** Connections by account to one instance. */
export class AccountConnections {
  readonly #options: AccountConnectionsOptions;
  readonly #opener: AccountOpener<MemberFactory<DirectLink>>;
  readonly #idle = new IdleConnections();
  readonly #open = new Set<ScheduledLink>();
  readonly #busy = new Set<ScheduledLink>();
  /** Connections that are closing but may still count towards the instance's limit, with the account that takes the place if one does. */
  readonly #closing = new Map<ScheduledLink, string | undefined>();
  #opened = 0;
  #share = 0;
  #isClosed = false;

  constructor(options: AccountConnectionsOptions) {
    this.#options = options;
    this.#opener = new AccountOpener({
      open: (account) =>
        options.open(account === NO_ACCOUNT ? undefined : account),
      onOpened: (create, account) => this.#onOpened(create, account),
      onFailed: (failure, account, part) =>
        this.#onFailed(failure, account, part),
      onPauseEnded: options.onAvailable,
      worksForOthers: (account) =>
        this.openOf(account) === 0 && options.worksForOthers(account),
    });
  }

  /** Maximum number of connections. */
  get share(): number {
    return this.#share;
  }

  /** Connections that count towards the instance's limit, including those that are opening or closing. */
  get allocated(): number {
    return this.#open.size + this.#closing.size + this.#opener.pending;
  }

  /** Connections opened since the start. */
  get opened(): number {
    return this.#opened;
  }

  get openCount(): number {
    return this.#open.size;
  }

  get busyCount(): number {
    return this.#busy.size;
  }

  get idleCount(): number {
    return this.#idle.size;
  }

  /** Connections that are being opened, or will be when the one that they replace is closed. */
  get pending(): number {
    let replacing = 0;
    for (const account of this.#closing.values()) {
      if (account !== undefined) replacing += 1;
    }
    return this.#opener.pending + replacing;
  }

  /** Whether the instance could not be reached a moment ago, and no connection is in use. */
  get isUnreachable(): boolean {
    return this.#opener.isUnreachable && this.#busy.size === 0;
  }

  /** Whether the instance opened none for this account a moment ago, and there is no other. */
  isRejected(account: string): boolean {
    return this.#opener.isRejected(account) && this.openOf(account) === 0;
  }

  /** Number of open connections of an account. */
  openOf(account: string): number {
    let count = 0;
    for (const link of this.#open) if (link.account === account) count += 1;
    return count;
  }

  /** Numbers of open connections by account. */
  openByAccount(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { account } of this.#open) {
      counts.set(account, (counts.get(account) ?? 0) + 1);
    }
    return counts;
  }

  idleOf(account: string): number {
    return this.#idle.countOf(account);
  }

  /** Connections of an account that are being opened or will be. */
  pendingOf(account: string): number {
    let count = this.#opener.pendingOf(account);
    for (const successor of this.#closing.values()) {
      if (successor === account) count += 1;
    }
    return count;
  }

  /** Whether a connection of the account will be free when its single statement is answered. */
  isExpectedBack(account: string): boolean {
    for (const link of this.#busy) {
      if (link.account !== account || link.isInTransaction) continue;
      if (link.inFlight > 0) return true;
    }
    return false;
  }

  /** Whether a connection of the account may be opened now. */
  mayOpen(account: string): boolean {
    if (this.#isClosed || !this.#opener.mayOpen(account)) return false;
    return this.allocated < this.#share || this.#idle.size > 0;
  }

  /** Opens a connection of the account, if need be after closing the one that is least worth keeping; returns false if none may be closed. */
  open(
    account: string,
    rule: Omit<KeepingRule, "openOf" | "fairPart">,
  ): boolean {
    if (this.allocated < this.#share) {
      this.#opener.open(account);
      return true;
    }
    const accounts = new Set([...this.#open].map((link) => link.account));
    const link = this.#idle.leastWorthKeeping({
      ...rule,
      openOf: (other) => this.openOf(other),
      fairPart: this.#share / Math.max(1, accounts.size),
    });
    if (!link) return false;
    this.#options.counts.add(link.account, "closed");
    this.#end(link, account);
    return true;
  }

  /** Takes an idle connection of the account into use. */
  take(account: string): ScheduledLink | undefined {
    return this.#use(this.#idle.pop(account));
  }

  /** Takes the idle connection that was used least recently into use, whatever its account. */
  takeAny(): ScheduledLink | undefined {
    return this.#use(this.#idle.popAny());
  }

  /** Makes a connection that was in use idle, or closes it if it is one too many. */
  giveBack(link: ScheduledLink): void {
    this.#busy.delete(link);
    const surplus = this.#open.size + this.#opener.pending > this.#share;
    if (this.#isClosed || surplus) this.#end(link);
    else this.#idle.push(link);
  }

  /** Forgets a connection that is closed; opens the one that takes its place if `isNeeded` says so. */
  forget(
    link: ScheduledLink,
    isNeeded: (account: string) => boolean,
  ): void {
    const successor = this.#closing.get(link);
    this.#open.delete(link);
    this.#closing.delete(link);
    this.#busy.delete(link);
    if (this.#idle.remove(link)) this.#options.onFailure();
    const { id: connection, account } = link;
    this.#options.log(Events.CONNECTION_CLOSED, { connection, account });
    if (successor === undefined || !isNeeded(successor)) return;
    const hasRoom = !this.#isClosed && this.allocated < this.#share;
    if (hasRoom && this.#opener.mayOpen(successor)) {
      this.#opener.open(successor);
    }
  }

  /** Sets the maximum number of connections; idle ones in excess are closed immediately. */
  setShare(share: number): void {
    this.#share = share;
    this.#closeIdle(share);
  }

  /** Closes idle connections now, and the others when they are given back. */
  close(): void {
    this.#isClosed = true;
    this.#closeIdle(0);
  }

  reopen(): void {
    this.#isClosed = false;
  }

  /** Closes the connections in use; their users see them as lost. */
  destroyBusy(): void {
    for (const link of [...this.#busy]) link.destroy();
  }

  /** Closes at most one connection that has not been used for long; the proxy's own statements need one. */
  closeUnused(now: number): void {
    const isLone = this.#share <= 1;
    if (this.#open.size <= 1 && !isLone) return;
    const timeout = isLone ? LONE_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
    const oldest = this.#idle.leastRecent();
    if (!oldest || oldest.accountUsedAt > now - timeout) return;
    this.#end(oldest);
  }

  #use(link: ScheduledLink | undefined): ScheduledLink | undefined {
    if (link) this.#busy.add(link);
    return link;
  }

  #closeIdle(maxOpen: number): void {
    while (this.#open.size + this.#opener.pending > maxOpen) {
      const link = this.#idle.leastRecent();
      if (!link) return;
      this.#end(link);
    }
  }

  /** Closes an idle connection; one of the account `successor` takes its place. */
  #end(link: ScheduledLink, successor?: string): void {
    this.#idle.remove(link);
    this.#open.delete(link);
    this.#closing.set(link, successor);
    link.end();
  }

  #onOpened(create: MemberFactory<DirectLink>, account: string): void {
    this.#opened += 1;
    this.#options.counts.add(account, "opened");
    const link = new ScheduledLink(account, create, this.#options.owner);
    this.#open.add(link);
    this.#options.log(Events.CONNECTION_OPENED, {
      connection: link.id,
      account,
    });
    this.giveBack(link);
    this.#options.onAvailable();
  }

  #onFailed(failure: Failure, account: string, part: FailedPart): void {
    this.#options.log(Events.CONNECTION_REFUSED, {
      reason: failure.message,
      account,
    });
    this.#options.onOpenFailed(failure, account, part);
  }
}
