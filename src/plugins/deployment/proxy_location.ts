/**
 * Name and location of a proxy.
 *
 * @module
 */

/** Identifies this proxy and the availability zone that it runs in. */
export interface ProxyLocation {
  /** Name of this proxy, unique in the deployment. */
  readonly proxy: string;
  readonly zone: string;
  /** Region of each availability zone. */
  readonly regions: ReadonlyMap<string, string>;
}
