/**
 * The task of one caller's connection after authentication: reads messages and
 * has them run one after the other.
 *
 * @module
 */
import type { Socket } from "node:net";
import { CallerChannel } from "./caller_channel.ts";
import { EngineAccess } from "./engine_access.ts";
import { ExtendedQuery } from "./extended_query.ts";
import type { DatabaseInstance, Member } from "./instance.ts";
import {
  CANCELLED,
  type SessionContext,
  toFailure,
} from "./session_context.ts";
import { NO_SETTINGS, type SessionSettings } from "./session_settings.ts";
import { runSimpleQuery } from "./simple_query.ts";
import { StatementNames } from "./statement_names.ts";
import {
  createError,
  createMessage,
  type Message,
  readMessages,
  SqlFailure,
  textOf,
} from "./wire.ts";

const IDLE_TRANSACTION = new SqlFailure(
  "25P03",
  "terminating connection due to idle-in-transaction timeout",
);

/** What startup found out about a connection. */
export interface SessionStart {
  /** Process number that the caller was told; unique in this instance. */
  readonly id: number;
  readonly socket: Socket;
  readonly control: boolean;
  readonly settings: SessionSettings;
}

/** One connection. */
export class Session implements Member {
  readonly control: boolean;
  readonly #context: SessionContext;
  readonly #extended: ExtendedQuery;
  #idleTimer: NodeJS.Timeout | undefined;

  constructor(instance: DatabaseInstance, start: SessionStart) {
    this.control = start.control;
    this.#context = {
      instance,
      channel: new CallerChannel(start.socket),
      access: new EngineAccess(instance, start.settings),
      names: new StatementNames(start.id),
    };
    this.#extended = new ExtendedQuery(this.#context);
  }

  get inTransaction(): boolean {
    return this.#context.access.held;
  }

  /** Serves messages until the connection ends. */
  async run(): Promise<void> {
    const { channel, instance } = this.#context;
    instance.members.add(this);
    try {
      for await (const message of readMessages(channel.socket)) {
        clearTimeout(this.#idleTimer);
        if (message.type === "X" || channel.ended) break;
        await this.#serve(message);
        this.#watchIdleTransaction();
      }
      channel.end();
    } catch (error) {
      channel.end(toFailure(error));
    } finally {
      instance.members.delete(this);
      await this.#leave();
    }
  }

  terminate(failure: SqlFailure): void {
    const { access, channel } = this.#context;
    access.close(failure);
    channel.end(failure);
  }

  /** Cancels a statement that waits; does nothing when none does. */
  cancel(): void {
    this.#context.access.abandon(CANCELLED);
    this.#context.channel.cancelSleep();
  }

  async #serve(message: Message): Promise<void> {
    switch (message.type) {
      case "Q":
        return await runSimpleQuery(this.#context, textOf(message.bytes));
      case "P":
      case "B":
      case "D":
      case "E":
      case "C":
      case "S":
      case "H":
        return await this.#extended.add(message);
      case "d":
      case "c":
      case "f":
        return;
      case "F":
        return await this.#refuseFunctionCall();
      default:
        throw new SqlFailure("08P01", `unknown message ${message.type}`);
    }
  }

  async #refuseFunctionCall(): Promise<void> {
    const { access, channel } = this.#context;
    const failure = new SqlFailure("0A000", "function calls are not supported");
    await channel.write(Buffer.concat([createError(failure), access.ready]));
  }

  // The gate admits one transaction at a time, so an idle one stops all others.
  #watchIdleTransaction(): void {
    const { access, instance } = this.#context;
    if (!access.held) return;
    this.#idleTimer = setTimeout(() => {
      if (!instance.database.mutex.contended) {
        this.#watchIdleTransaction();
        return;
      }
      this.terminate(IDLE_TRANSACTION);
    }, instance.settings.idleTransactionLimit);
  }

  async #leave(): Promise<void> {
    const { access, instance, names } = this.#context;
    clearTimeout(this.#idleTimer);
    access.close(CANCELLED);
    const closes = names.closeAll();
    if (closes.length === 0) return;
    const cleanup = new EngineAccess(instance, NO_SETTINGS);
    await cleanup.enter();
    cleanup.execute(Buffer.concat([closes, createMessage("S")]));
  }
}
