/**
 * Client of the object store over the S3 protocol.
 *
 * @module
 */
import {
  GetObjectCommand,
  NoSuchKey,
  PutObjectCommand,
  S3Client,
} from "@aws-sdk/client-s3";
import { ResultAsync } from "neverthrow";
import { type EventLog, Events } from "../../kernel/events.ts";
import { describeError, OutageLog } from "../../kernel/outage_log.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { ObjectStore } from "./object_store.ts";
import {
  createClientConfiguration,
  type PlatformAccess,
} from "../../utils/platform_client.ts";

const REQUEST_TIMEOUT_MS = 1_000;

/** Options of the object store client. */
export interface S3ObjectStoreOptions extends PlatformAccess {
  readonly bucket: string;
  readonly log: EventLog;
}

/** Reads and writes texts in one bucket. Requests are never retried. */
export class S3ObjectStore implements ObjectStore {
  readonly #client: S3Client;
  readonly #bucket: string;
  readonly #outage: OutageLog;

  constructor(options: S3ObjectStoreOptions) {
    this.#bucket = options.bucket;
    this.#outage = new OutageLog(
      options.log,
      Events.OBJECT_STORE_FAILED,
      "object store",
    );
    this.#client = new S3Client({
      ...createClientConfiguration(options),
      forcePathStyle: true,
      requestChecksumCalculation: "WHEN_REQUIRED",
      responseChecksumValidation: "WHEN_REQUIRED",
    });
  }

  get(key: string): ResultAsync<string | undefined, Failure> {
    return this.#run(async (abortSignal) => {
      const command = new GetObjectCommand({ Bucket: this.#bucket, Key: key });
      try {
        const response = await this.#client.send(command, { abortSignal });
        return await response.Body?.transformToString("utf-8");
      } catch (error) {
        if (error instanceof NoSuchKey) return undefined;
        throw error;
      }
    });
  }

  put(key: string, text: string): ResultAsync<void, Failure> {
    return this.#run(async (abortSignal) => {
      const command = new PutObjectCommand({
        Bucket: this.#bucket,
        Key: key,
        Body: text,
      });
      await this.#client.send(command, { abortSignal });
    });
  }

  /** Closes all connections. */
  stop(): Promise<void> {
    this.#client.destroy();
    return Promise.resolve();
  }

  #run<T>(
    work: (abortSignal: AbortSignal) => Promise<T>,
  ): ResultAsync<T, Failure> {
    const request = work(AbortSignal.timeout(REQUEST_TIMEOUT_MS));
    return ResultAsync.fromPromise(request, (error) => {
      this.#outage.recordFailure(error);
      return createFailure(
        ResultCodes.OBJECT_STORE_UNAVAILABLE,
        "the request to the object store failed",
        { detail: describeError(error) },
      );
    }).andTee(() => this.#outage.recordSuccess());
  }
}
