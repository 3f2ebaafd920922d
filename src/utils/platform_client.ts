/**
 * How the clients of the platform's services connect.
 *
 * @module
 */
import { Agent } from "node:http";
import { NodeHttpHandler } from "@smithy/node-http-handler";

/** Where a service of the platform is and whom it knows. */
export interface PlatformAccess {
  readonly url: string;
  readonly accessKey: string;
  readonly secret: string;
  /** IP number to connect from; default lets the system choose. */
  readonly address?: string;
  /** Region that requests are signed for; default `local`. */
  readonly region?: string;
}

/** Configuration of a client that sends each request once. */
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
