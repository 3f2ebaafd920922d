/**
 * Edits the document of a stack.
 *
 * @module
 */
import { parse, stringify } from "yaml";

/** Sets the preferred primary of a database in production; removes the preference if no instance is given. */
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
