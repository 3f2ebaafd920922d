/**
 * Who and where a proxy is.
 *
 * @module
 */

/** Name and location of this proxy. */
export interface ProxyLocation {
  /** Name of this proxy, unique in the deployment. */
  readonly proxy: string;
  readonly zone: string;
  /** Region of each availability zone. */
  readonly regions: ReadonlyMap<string, string>;
}
