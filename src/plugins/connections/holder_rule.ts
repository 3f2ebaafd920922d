/**
 * Where few hosts hold an instance's connections for all. The rule is made by
 * the plug-in that forwards work between hosts.
 *
 * @module
 */

/** Whether an instance's connections are held by few hosts, and how many this host may have then. */
export interface HolderRule {
  /** Whether the connections to a group's instances are held by few hosts for all. */
  isScheduled(group: string): boolean;
  /** Number of connections to an instance of such a group that this host may hold. */
  scheduledShare(instance: string): number;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    holderRule: HolderRule;
  }
}
