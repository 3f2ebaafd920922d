/**
 * Network endpoints and their text form.
 *
 * @module
 */

/** IP address and port. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Parses `host:port`; does not validate it. */
export function parseEndpoint(text: string): Endpoint {
  const colon = text.lastIndexOf(":");
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** Formats an endpoint as `host:port`. */
export function formatEndpoint({ host, port }: Endpoint): string {
  return `${host}:${port}`;
}
