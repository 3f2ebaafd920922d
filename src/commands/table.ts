/**
 * Formats plain-text tables for terminals.
 *
 * @module
 */
import { escapeControls } from "../utils/printable.ts";

const COLUMN_GAP = "  ";

/** Formats rows as text with columns aligned under their headers; control characters in cells are escaped. */
export function formatTable(
  headers: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [headers, ...rows].map((row) => row.map(escapeControls));
  const widths = headers.map((_, column) =>
    Math.max(...all.map((row) => row[column]?.length ?? 0))
  );
  return all
    .map((row) =>
      row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join(COLUMN_GAP)
        .trimEnd()
    )
    .join("\n");
}
