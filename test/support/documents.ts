/**
 * Changes to the document of a stack.
 *
 * @module
 */
import { parse, stringify } from "yaml";

/** The document with the preferred primary of a database in production; without a name none is preferred. */
export function preferPrimary(
  text: string,
  database: string,
  instance: string | undefined,
): string {
  const document = parse(text);
  for (const group of document.environments.production.groups) {
    if (group.database !== database) continue;
    if (instance === undefined) delete group.preferredPrimary;
    else group.preferredPrimary = instance;
  }
  return stringify(document);
}
