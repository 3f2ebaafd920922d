/**
 * Shared configuration of the clients of the platform's services.
 *
 * @module
 */
import { Agent } from "node:http";
import { NodeHttpHandler } from "@smithy/node-http-handler";

/** URL and credentials of a platform service. */
export interface PlatformAccess {
  readonly url: string;
  readonly accessKey: string;
  readonly secret: string;
  /** Local IP address to connect from; by default the operating system chooses. */
  readonly address?: string;
  /** Region used in request signatures; default `local`. */
  readonly region?: string;
}

/** Creates the configuration of an AWS SDK client that never retries a request. */
export function createClientConfiguration(access: PlatformAccess) {
  const agent = new Agent({ keepAlive: true, localAddress: access.address });
  return {
    endpoint: access.url,
    region: access.region ?? "local",
    credentials: {
      accessKeyId: access.accessKey,
      secretAccessKey: access.secret,
    },
    maxAttempts: 1,
    requestHandler: new NodeHttpHandler({ httpAgent: agent }),
  };
}
