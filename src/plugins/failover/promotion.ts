/**
 * The one way in which a primary is made: fence a majority at a new term, promote
 * the instance whose log is the furthest, let the others follow it.
 *
 * Safety rests on the fence alone. A term's fence is accepted once by each instance,
 * so at most one proposer gathers a majority for a term, and what a majority held
 * is in one of the logs among the replies.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
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

/** Longest wait for a fence, for a promotion and for an order to follow. */
const FENCE_TIMEOUT_MS = 500;
const PROMOTE_TIMEOUT_MS = 1_000;
const FOLLOW_TIMEOUT_MS = 2_000;
/** Wait for further fence replies once there is a majority. */
const FENCE_GRACE_MS = 30;

/** An instance that accepted a fence. */
export interface FenceVote {
  readonly instance: Instance;
  readonly reply: FenceReply;
}

/** The outcome of a promotion. */
export interface PromotionOutcome {
  readonly primary: Instance;
  readonly term: number;
  readonly status: InstanceStatus;
  /** Monotonic ms at which a majority was fenced. */
  readonly fencedAt: number;
  /** Monotonic ms at which the new primary answered. */
  readonly promotedAt: number;
}

/** What a promotion needs. */
export interface PromotionOptions {
  readonly group: Group;
  readonly control: DatabaseGroup;
  readonly log: EventLog;
  /** A term above all that were seen. */
  readonly term: number;
  /** Orders the instances among whose logs none is further; the first is taken. */
  readonly preference: (a: Instance, b: Instance) => number;
}

/** Fences a majority and promotes the furthest of it. */
export async function promote(
  options: PromotionOptions,
): Promise<Result<PromotionOutcome, Failure>> {
  const votes = await fenceMajority(options);
  if (votes.isErr()) return err(votes.error);
  const fencedAt = performance.now();
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
    promotedAt: performance.now(),
  });
}

/** Lets an instance follow a primary. */
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

/** The furthest log goes first; a tie is settled by preference. */
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
 * The votes that count. An instance with an empty log may have lost it, and then says nothing
 * about what a majority held; only when the whole group is empty there is nothing to lose.
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

/** A lost answer is asked for once more: the instance answers a repeated promotion alike. */
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
