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

const ENDPOINT_PATTERN = /^[^\s:]+:\d{1,5}$/;

/** Highest port of TCP. */
export const MAX_PORT = 65_535;

/** Whether a text is `host:port` with a port that can be connected to. */
export function isEndpoint(text: string): boolean {
  if (!ENDPOINT_PATTERN.test(text)) return false;
  const { port } = parseEndpoint(text);
  return port > 0 && port <= MAX_PORT;
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
