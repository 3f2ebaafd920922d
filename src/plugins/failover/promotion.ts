/**
 * Promotion of a new primary, used by both failover and switchover: fences a majority
 * of the instances at a new term, promotes the one with the most advanced log, and
 * lets the others follow it.
 *
 * Safety depends on the fence alone. Each instance accepts the fence of a term only once,
 * so at most one proposer obtains a majority for a term, and everything that a majority
 * has received is in at least one of the logs among the replies.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import { type EventLog, Events } from "../../kernel/events.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { Group, Instance } from "../document/document.ts";
import { majorityOf } from "../health/quorum.ts";
import type {
  DatabaseGroup,
  FenceReply,
  InstanceStatus,
} from "../upstream/database_group.ts";
import { comparePositions } from "../upstream/position.ts";

/** Timeouts of fence, promote and follow requests. */
const FENCE_TIMEOUT_MS = 500;
const PROMOTE_TIMEOUT_MS = 1_000;
const FOLLOW_TIMEOUT_MS = 2_000;
/** Wait for further fence replies after a majority has replied. */
const FENCE_GRACE_MS = 30;

/** An instance that accepted the fence, and its reply. */
export interface FenceVote {
  readonly instance: Instance;
  readonly reply: FenceReply;
}

/** Outcome of a successful promotion. */
export interface PromotionOutcome {
  readonly primary: Instance;
  readonly term: number;
  readonly status: InstanceStatus;
  /** Monotonic ms at which a majority was fenced. */
  readonly fencedAt: number;
  /** Monotonic ms at which the new primary confirmed its promotion. */
  readonly promotedAt: number;
}

/** Parameters and dependencies of a promotion. */
export interface PromotionOptions {
  readonly group: Group;
  readonly control: DatabaseGroup;
  readonly log: EventLog;
  /** A term higher than any that the instances have seen. */
  readonly term: number;
  /** Comparator that breaks ties between instances with equally advanced logs; the first instance is chosen. */
  readonly preference: (a: Instance, b: Instance) => number;
}

/**
 * Fences a majority and promotes its instance with the most advanced log. Fails with NO_MAJORITY,
 * or with the failure of the promote request.
 */
export async function promote(
  options: PromotionOptions,
): Promise<Result<PromotionOutcome, Failure>> {
  const votes = await fenceMajority(options);
  if (votes.isErr()) return err(votes.error);
  const fencedAt = clock.now();
  const { instance } = chooseCandidate(votes.value, options.preference);
  const status = await promoteCandidate(options, instance);
  if (status.isErr()) return err(status.error);
  const { group, term, log } = options;
  const { received } = status.value;
  log.write(Events.PROMOTED, {
    database: group.database,
    primary: instance.name,
    term,
    received: String(received),
  });
  return ok({
    primary: instance,
    term,
    status: status.value,
    fencedAt,
    promotedAt: clock.now(),
  });
}

/** Requests that an instance follows a primary, and logs the outcome. */
export async function orderFollow(
  options: Pick<PromotionOptions, "group" | "control" | "log" | "term">,
  instance: Instance,
  primary: Instance,
): Promise<void> {
  const { group: { database }, control, log, term } = options;
  const result = await control.follow(
    database,
    instance,
    primary,
    term,
    FOLLOW_TIMEOUT_MS,
  );
  log.write(Events.FOLLOW_ORDERED, {
    database,
    instance: instance.name,
    primary: primary.name,
    term,
    ...(result.isErr() ? { failure: result.error.message } : {}),
  });
}

/** Chooses the instance with the most advanced log; `preference` breaks ties. */
export function chooseCandidate(
  votes: readonly FenceVote[],
  preference: PromotionOptions["preference"],
): FenceVote {
  const ordered = [...votes].sort((a, b) =>
    comparePositions(logEnd(b.reply), logEnd(a.reply)) ||
    preference(a.instance, b.instance)
  );
  return ordered[0]!;
}

function logEnd({ lastTerm, received }: FenceReply) {
  return { term: lastTerm, lsn: received };
}

/**
 * The votes that count towards a majority. An instance with an empty log may have lost its data, so its
 * vote says nothing about what a majority had received. Only if all instances are empty do their votes count.
 */
function eligibleVotes(
  votes: readonly FenceVote[],
  instances: number,
): readonly FenceVote[] {
  const nonEmpty = votes.filter(({ reply }) => reply.lastTerm > 0);
  if (nonEmpty.length === 0 && votes.length === instances) return votes;
  return nonEmpty;
}

function fenceMajority(
  options: PromotionOptions,
): Promise<Result<readonly FenceVote[], Failure>> {
  const { instances } = options.group;
  const votes: FenceVote[] = [];
  let pending = instances.length;
  return new Promise((resolve) => {
    const finish = () => resolve(tallyVotes(options, votes));
    const hasMajority = () =>
      eligibleVotes(votes, instances.length).length >=
        majorityOf(instances.length);
    for (const instance of instances) {
      void fenceInstance(options, instance).then((vote) => {
        pending -= 1;
        if (vote) votes.push(vote);
        if (pending === 0) return finish();
        if (vote && hasMajority()) setTimeout(finish, FENCE_GRACE_MS);
      });
    }
  });
}

function tallyVotes(
  options: PromotionOptions,
  votes: readonly FenceVote[],
): Result<readonly FenceVote[], Failure> {
  const { group: { instances, database }, term } = options;
  const eligible = eligibleVotes(votes, instances.length);
  if (eligible.length >= majorityOf(instances.length)) return ok([...eligible]);
  return err(createFailure(
    ResultCodes.NO_MAJORITY,
    `${eligible.length} of ${instances.length} instances of ${database} were fenced at term ${term}`,
  ));
}

async function fenceInstance(
  { group: { database }, control, log, term }: PromotionOptions,
  instance: Instance,
): Promise<FenceVote | undefined> {
  const result = await control.fence(
    database,
    instance,
    term,
    FENCE_TIMEOUT_MS,
  );
  if (result.isErr()) return undefined;
  const { lastTerm, received } = result.value;
  log.write(Events.FENCED, {
    database,
    instance: instance.name,
    term,
    lastTerm,
    received: String(received),
  });
  return { instance, reply: result.value };
}

/** Retries once if the reply is lost; a repeated promotion is idempotent. */
async function promoteCandidate(
  { group: { database }, control, term }: PromotionOptions,
  instance: Instance,
): Promise<Result<InstanceStatus, Failure>> {
  const request = () =>
    control.promote(database, instance, term, PROMOTE_TIMEOUT_MS);
  const first = await request();
  if (first.isOk()) return first;
  if (first.error.code === ResultCodes.FENCE_REFUSED) return first;
  return await request();
}
