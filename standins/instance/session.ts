/**
 * Session of a caller's connection after authentication: reads messages and runs
 * them in sequence.
 *
 * @module
 */
import type { Socket } from "node:net";
import { CallerChannel } from "./caller_channel.ts";
import { EngineAccess } from "./engine_access.ts";
import { ExtendedQuery } from "./extended_query.ts";
import type { DatabaseInstance, SessionHandle } from "./instance.ts";
import {
  QUERY_CANCELED,
  type SessionContext,
  toFailure,
} from "./session_context.ts";
import { NO_SETTINGS, type SessionSettings } from "./session_settings.ts";
import { runSimpleQuery } from "./simple_query.ts";
import { PreparedStatements } from "./prepared_statements.ts";
import {
  createErrorResponse,
  createMessage,
  type Message,
  readMessages,
  readQueryText,
  SqlFailure,
} from "./wire.ts";

const IDLE_TRANSACTION_TIMEOUT = new SqlFailure(
  "25P03",
  "terminating connection due to idle-in-transaction timeout",
);

/** Result of the startup of a connection. */
export interface SessionOptions {
  /** Process ID sent in BackendKeyData; unique within the instance. */
  readonly processId: number;
  readonly socket: Socket;
  /** Whether this is a control connection, which does not count towards the limit. */
  readonly control: boolean;
  /** Settings from the startup message. */
  readonly settings: SessionSettings;
}

/** Session of one connection. */
export class Session implements SessionHandle {
  readonly control: boolean;
  readonly #context: SessionContext;
  readonly #extended: ExtendedQuery;
  #idleTimer: NodeJS.Timeout | undefined;

  constructor(instance: DatabaseInstance, options: SessionOptions) {
    this.control = options.control;
    this.#context = {
      instance,
      channel: new CallerChannel(options.socket),
      access: new EngineAccess(instance, options.settings),
      preparedStatements: new PreparedStatements(options.processId),
    };
    this.#extended = new ExtendedQuery(this.#context);
  }

  get inTransaction(): boolean {
    return this.#context.access.holdsMutex;
  }

  /** Handles messages until the connection ends. */
  async run(): Promise<void> {
    const { channel, instance } = this.#context;
    instance.sessions.add(this);
    try {
      for await (const message of readMessages(channel.socket)) {
        clearTimeout(this.#idleTimer);
        if (message.type === "X" || channel.ended) break;
        await this.#handle(message);
        this.#startIdleTimer();
      }
      channel.end();
    } catch (error) {
      channel.end(toFailure(error));
    } finally {
      instance.sessions.delete(this);
      await this.#cleanUp();
    }
  }

  terminate(failure: SqlFailure): void {
    const { access, channel } = this.#context;
    access.close(failure);
    channel.end(failure);
  }

  /** Cancels a statement that sleeps or waits for the mutex; does nothing otherwise. */
  cancel(): void {
    this.#context.access.cancelWait(QUERY_CANCELED);
    this.#context.channel.cancelSleep();
  }

  async #handle(message: Message): Promise<void> {
    switch (message.type) {
      case "Q":
        return await runSimpleQuery(
          this.#context,
          readQueryText(message.bytes),
        );
      case "P":
      case "B":
      case "D":
      case "E":
      case "C":
      case "S":
      case "H":
        return await this.#extended.enqueue(message);
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
    await channel.write(
      Buffer.concat([createErrorResponse(failure), access.readyForQuery]),
    );
  }

  // The mutex admits one transaction at a time, so an idle transaction blocks all others.
  #startIdleTimer(): void {
    const { access, instance } = this.#context;
    if (!access.holdsMutex) return;
    this.#idleTimer = setTimeout(() => {
      if (!instance.database.mutex.contended) {
        this.#startIdleTimer();
        return;
      }
      this.terminate(IDLE_TRANSACTION_TIMEOUT);
    }, instance.settings.idleTransactionLimit);
  }

  async #cleanUp(): Promise<void> {
    const { access, instance, preparedStatements } = this.#context;
    clearTimeout(this.#idleTimer);
    access.close(QUERY_CANCELED);
    const closeMessages = preparedStatements.closeAll();
    if (closeMessages.length === 0) return;
    const cleanupAccess = new EngineAccess(instance, NO_SETTINGS);
    await cleanupAccess.acquire();
    cleanupAccess.execute(Buffer.concat([closeMessages, createMessage("S")]));
  }
}
