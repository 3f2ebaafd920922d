/**
 * Formats plain-text tables for terminals.
 *
 * @module
 */

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

/** Keeps a cell on its line and from commanding the terminal; others may have chosen its text. */
function escapeControls(cell: string): string {
  return cell.replace(
    /\p{Cc}/gu,
    (control) => `\\u${control.charCodeAt(0).toString(16).padStart(4, "0")}`,
  );
}
