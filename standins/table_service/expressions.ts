/**
 * Evaluates the subset of condition expressions that the proxy uses:
 * `attribute_exists`, `attribute_not_exists` and `=`, joined by AND.
 *
 * @module
 */

/** A typed value in the format of the DynamoDB protocol, such as `{"S": "text"}`. */
export type AttributeValue = Readonly<Record<string, unknown>>;

/** Attributes of an item by name. */
export type Item = Readonly<Record<string, AttributeValue>>;

/** A condition expression and the values of its placeholders. */
export interface Condition {
  readonly ConditionExpression?: string;
  readonly ExpressionAttributeNames?: Readonly<Record<string, string>>;
  readonly ExpressionAttributeValues?: Readonly<Record<string, AttributeValue>>;
}

const FUNCTION = /^(attribute_exists|attribute_not_exists)\s*\(\s*(\S+?)\s*\)$/;
const EQUALITY = /^(\S+)\s*=\s*(:\w+)$/;

/** An expression that this stand-in does not support. */
export class ExpressionError extends Error {}

/** Whether the condition holds for an item, or for an absent item if undefined. */
export function evaluateCondition(
  condition: Condition,
  item: Item | undefined,
): boolean {
  const expression = condition.ConditionExpression;
  if (!expression) return true;
  return expression.split(/\s+AND\s+/i)
    .every((term) => evaluateTerm(term.trim(), condition, item));
}

function evaluateTerm(
  term: string,
  condition: Condition,
  item: Item | undefined,
): boolean {
  const call = FUNCTION.exec(term);
  if (call) {
    const present =
      item?.[resolveAttributeName(call[2]!, condition)] !== undefined;
    return call[1] === "attribute_exists" ? present : !present;
  }
  const equality = EQUALITY.exec(term);
  if (!equality) throw new ExpressionError(`unsupported condition: ${term}`);
  const actual = item?.[resolveAttributeName(equality[1]!, condition)];
  const expected = condition.ExpressionAttributeValues?.[equality[2]!];
  return actual !== undefined && sameValue(actual, expected);
}

function resolveAttributeName(name: string, condition: Condition): string {
  if (!name.startsWith("#")) return name;
  const resolved = condition.ExpressionAttributeNames?.[name];
  if (resolved === undefined) throw new ExpressionError(`no name for ${name}`);
  return resolved;
}

function sameValue(a: AttributeValue, b: AttributeValue | undefined): boolean {
  return b !== undefined && JSON.stringify(a) === JSON.stringify(b);
}
