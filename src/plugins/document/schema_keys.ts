/**
 * Looks up the keys that a schema allows at a path, for hints on unknown keys.
 *
 * @module
 */
import type { z } from "zod";

/** Part of a schema's definition that the lookup uses. */
interface SchemaDefinition {
  readonly type: string;
  readonly shape?: Readonly<Record<string, z.ZodType>>;
  readonly innerType?: z.ZodType;
  readonly valueType?: z.ZodType;
  readonly element?: z.ZodType;
  readonly in?: z.ZodType;
}

/** Returns the keys of the object that the schema expects at the path; empty when it expects no object. */
export function knownKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): readonly string[] {
  let current: z.ZodType | undefined = schema;
  for (const key of path) current = current && childSchema(current, key);
  return current ? Object.keys(unwrapDefinition(current).shape ?? {}) : [];
}

/** Returns the definition inside wrappers such as defaults, optional values and transforms. */
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
  const { shape } = parent;
  if (shape) return Object.hasOwn(shape, key) ? shape[String(key)] : undefined;
  return parent.element ?? parent.valueType;
}
