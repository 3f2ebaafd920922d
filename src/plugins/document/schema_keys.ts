/**
 * Looks up which keys a schema knows at a path, for hints on unknown keys.
 *
 * @module
 */
import type { z } from "zod";

/** The part of a schema's definition that the walk needs. */
interface SchemaDefinition {
  readonly type: string;
  readonly shape?: Readonly<Record<string, z.ZodType>>;
  readonly innerType?: z.ZodType;
  readonly valueType?: z.ZodType;
  readonly element?: z.ZodType;
  readonly in?: z.ZodType;
}

/** Keys of the object that the schema expects at the path; empty for anything else. */
export function knownKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): readonly string[] {
  let current: z.ZodType | undefined = schema;
  for (const key of path) current = current && childSchema(current, key);
  return current ? Object.keys(unwrapDefinition(current).shape ?? {}) : [];
}

/** The definition behind defaults and optional values. */
function unwrapDefinition(schema: z.ZodType): SchemaDefinition {
  const current = schema.def as unknown as SchemaDefinition;
  const inner = current.innerType ?? current.in;
  return inner ? unwrapDefinition(inner) : current;
}

function childSchema(
  schema: z.ZodType,
  key: PropertyKey,
): z.ZodType | undefined {
  const parent = unwrapDefinition(schema);
  if (parent.shape) return parent.shape[String(key)];
  return parent.element ?? parent.valueType;
}
