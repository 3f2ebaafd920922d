/**
 * Summarizes one parsed statement of a text.
 *
 * @module
 */
import type {
  Effect,
  ProxySetting,
  ReplayedSetting,
  SessionStateKind,
  TransactionCommand,
} from "./classification.ts";
import { type ParseNode, scanStatement } from "./statement_scan.ts";

/** Properties of one statement, from which the classification of its text is combined. */
export interface StatementSummary {
  readonly effect: Effect;
  readonly transactionControl?: boolean;
  readonly transaction?: TransactionCommand;
  readonly sessionState?: SessionStateKind;
  readonly replayed?: ReplayedSetting;
  readonly proxySetting?: ProxySetting;
  readonly shownSetting?: string;
  readonly discardsState?: boolean;
  readonly resetsSettings?: boolean;
  readonly deallocatedStatement?: string;
  readonly unsupported?: boolean;
  readonly tables?: readonly string[];
}

const PROXY_PREFIX = "marjoramshed.";
const PROXY_SETTINGS: ReadonlySet<string> = new Set([
  "request",
  "position",
  "kind",
  "session",
]);

/** Parameters whose value depends on the instance's role; callers expect the value on the primary. */
const ROLE_PARAMETERS: ReadonlySet<string> = new Set([
  "all",
  "in_hot_standby",
  "transaction_read_only",
]);

const IDENTITY_PARAMETERS: ReadonlySet<string> = new Set([
  "role",
  "session_authorization",
]);

const CONTROL: StatementSummary = { effect: "control" };
const PINNED: StatementSummary = { effect: "write", sessionState: "pinned" };

/** Summarizes a statement; `text` is the part of the whole text that holds just this statement. */
export function summarizeStatement(
  statement: ParseNode,
  text: string,
): StatementSummary {
  const name = Object.keys(statement)[0] ?? "";
  const node = (statement[name] ?? {}) as ParseNode;
  switch (name) {
    case "SelectStmt":
      return summarizeQuery(statement);
    case "ExplainStmt":
      return summarizeExplain(statement, node);
    case "TransactionStmt":
      return summarizeTransaction(node);
    case "VariableSetStmt":
      return summarizeSet(node, text);
    case "VariableShowStmt":
      return summarizeShow(String(node.name));
    case "DiscardStmt":
      return summarizeDiscard(node);
    case "DeallocateStmt":
      return summarizeDeallocate(node);
    case "ListenStmt":
    case "UnlistenStmt":
      return { ...PINNED, unsupported: true };
    case "CopyStmt":
    case "NotifyStmt":
      return { ...summarizeOther(statement), unsupported: true };
    default:
      return summarizeOther(statement);
  }
}

function summarizeQuery(statement: ParseNode): StatementSummary {
  const scan = scanStatement(statement);
  return {
    effect: scan.readOnly ? "read" : "write",
    sessionState: scan.pinned ? "pinned" : undefined,
    tables: scan.tables,
  };
}

function summarizeOther(statement: ParseNode): StatementSummary {
  const { pinned, tables } = scanStatement(statement);
  return {
    effect: "write",
    sessionState: pinned ? "pinned" : undefined,
    tables,
  };
}

function summarizeExplain(
  statement: ParseNode,
  node: ParseNode,
): StatementSummary {
  const options = (node.options ?? []) as readonly ParseNode[];
  const analyzes = options.some((option) =>
    (option.DefElem as ParseNode | undefined)?.defname === "analyze"
  );
  const query = node.query as ParseNode | undefined;
  if (analyzes || !query?.SelectStmt) return summarizeOther(statement);
  return summarizeQuery(query);
}

function summarizeTransaction(node: ParseNode): StatementSummary {
  const control = { effect: "control", transactionControl: true } as const;
  switch (node.kind) {
    case "TRANS_STMT_BEGIN":
    case "TRANS_STMT_START":
      return { ...control, transaction: beginCommand(node) };
    case "TRANS_STMT_COMMIT":
      return { ...control, transaction: "commit" };
    case "TRANS_STMT_ROLLBACK":
      return { ...control, transaction: "rollback" };
    case "TRANS_STMT_SAVEPOINT":
    case "TRANS_STMT_RELEASE":
    case "TRANS_STMT_ROLLBACK_TO":
      return control;
    default:
      return { effect: "write", transactionControl: true };
  }
}

/** Serializable transactions begin on the primary even when read-only, because a replica refuses them. */
function beginCommand(node: ParseNode): TransactionCommand {
  let readOnly = false;
  let serializable = false;
  for (const option of (node.options ?? []) as readonly ParseNode[]) {
    const element = option.DefElem as ParseNode;
    const constant = (element.arg as ParseNode | undefined)?.A_Const as
      | ParseNode
      | undefined;
    if (element.defname === "transaction_read_only") {
      readOnly = (constant?.ival as ParseNode | undefined)?.ival === 1;
    }
    if (element.defname === "transaction_isolation") {
      serializable =
        (constant?.sval as ParseNode | undefined)?.sval === "serializable";
    }
  }
  return readOnly && !serializable ? "begin read only" : "begin";
}

function summarizeSet(node: ParseNode, text: string): StatementSummary {
  const name = String(node.name ?? "").toLowerCase();
  const kind = String(node.kind);
  if (name.startsWith(PROXY_PREFIX)) {
    const setting = readProxySetting(name.slice(PROXY_PREFIX.length), node);
    if (setting) return { ...CONTROL, proxySetting: setting };
  }
  if (IDENTITY_PARAMETERS.has(name)) return PINNED;
  if (node.is_local || name.startsWith("transaction")) return CONTROL;
  if (kind === "VAR_RESET_ALL") return replayed("all");
  if (kind === "VAR_RESET" || kind === "VAR_SET_DEFAULT") return replayed(name);
  if (kind === "VAR_SET_VALUE") return replayed(name, text);
  if (kind === "VAR_SET_MULTI") return summarizeCharacteristics(node, text);
  return PINNED;
}

/** `SET SESSION CHARACTERISTICS` with a single mode sets one parameter and can be replayed under that parameter's name. */
function summarizeCharacteristics(
  node: ParseNode,
  text: string,
): StatementSummary {
  const modes = (node.args ?? []) as readonly ParseNode[];
  if (modes.length !== 1) return PINNED;
  const mode = String((modes[0]!.DefElem as ParseNode | undefined)?.defname);
  return replayed(`default_${mode}`, text);
}

function replayed(
  name: string,
  text?: string,
): StatementSummary {
  return {
    effect: "control",
    sessionState: "setting",
    replayed: { name, text },
  };
}

function readProxySetting(
  name: string,
  node: ParseNode,
): ProxySetting | undefined {
  if (!PROXY_SETTINGS.has(name)) return undefined;
  return {
    name: name as ProxySetting["name"],
    value: settingValue(node),
    local: node.is_local === true,
  };
}

/** The value of a SET as text; empty for a RESET. */
function settingValue(node: ParseNode): string {
  const args = (node.args ?? []) as readonly ParseNode[];
  return args.map((arg) => {
    const constant = arg.A_Const as ParseNode | undefined;
    const text = constant?.sval as ParseNode | undefined;
    const integer = constant?.ival as ParseNode | undefined;
    const decimal = constant?.fval as ParseNode | undefined;
    return String(text?.sval ?? integer?.ival ?? decimal?.fval ?? "");
  }).join(",");
}

function summarizeShow(name: string): StatementSummary {
  const parameter = name.toLowerCase();
  if (parameter.startsWith(PROXY_PREFIX)) {
    return { ...CONTROL, shownSetting: parameter.slice(PROXY_PREFIX.length) };
  }
  return { effect: ROLE_PARAMETERS.has(parameter) ? "write" : "read" };
}

function summarizeDiscard(node: ParseNode): StatementSummary {
  if (node.target === "DISCARD_ALL") {
    return { ...CONTROL, discardsState: true, resetsSettings: true };
  }
  if (node.target === "DISCARD_TEMP") return PINNED;
  return CONTROL;
}

function summarizeDeallocate(node: ParseNode): StatementSummary {
  if (node.name === undefined) return { ...CONTROL, discardsState: true };
  return { ...CONTROL, deallocatedStatement: String(node.name) };
}
