/**
 * How long a statement that got no answer in time may still run.
 *
 * @module
 */

/**
 * How long a connection is kept after a statement's deadline for the late answer,
 * in ms. Closing it at once would make the instance open a new connection for
 * each slow statement.
 */
export const LATE_ANSWER_TIMEOUT_MS = 2_000;

/**
 * How long a statement may still run after its connection was closed here without a word from the
 * instance, in ms: an instance drops a caller that it can't reach after 3 s, and the rest is for
 * statements that wait for a slot there.
 */
export const RUN_AFTER_CLOSE_MS = 5_000;
