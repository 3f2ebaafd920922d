/**
 * Makes texts that others have chosen safe to print.
 *
 * @module
 */

/** Keeps a text on its line and from commanding the terminal: control characters are escaped. */
export function escapeControls(text: string): string {
  return text.replace(
    /\p{Cc}/gu,
    (control) => `\\u${control.charCodeAt(0).toString(16).padStart(4, "0")}`,
  );
}
