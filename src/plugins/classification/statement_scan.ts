/**
 * Walks the parse tree of one statement to find whether it is read-only, which
 * tables it references, and whether it may leave session state.
 *
 * A statement is read-only if all its nodes and functions are on allowlists and
 * it has no writing clause. What the text can't show, such as a view that calls
 * a volatile function, is left to the instance: a replica refuses it with 25006.
 *
 * @module
 */
import { leavesSessionState, STABLE_FUNCTIONS } from "./built_in_functions.ts";

/** A node of the parse tree as JSON; node type names begin with a capital letter. */
export type ParseNode = { readonly [key: string]: unknown };

/** Result of walking the parse tree of a statement. */
export interface StatementScan {
  /** Whether all nodes, clauses and functions are known to be read-only. */
  readonly readOnly: boolean;
  /** Whether the statement may leave session state that can't be replayed. */
  readonly pinned: boolean;
  /** Names of the referenced tables, in lower case and without schema; common table expressions are excluded. */
  readonly tables: readonly string[];
}

const READ_NODES: ReadonlySet<string> = new Set(
  `SelectStmt ResTarget ColumnRef A_Star A_Const A_Expr A_Indirection A_Indices
  A_ArrayExpr BoolExpr BooleanTest NullTest CaseExpr CaseWhen CoalesceExpr
  CollateClause CommonTableExpr FuncCall GroupingFunc GroupingSet JoinExpr
  JsonAggConstructor JsonArgument JsonArrayAgg JsonArrayConstructor
  JsonArrayQueryConstructor JsonBehavior JsonFormat JsonFuncExpr
  JsonIsPredicate JsonKeyValue JsonObjectAgg JsonObjectConstructor JsonOutput
  JsonParseExpr JsonReturning JsonScalarExpr JsonSerializeExpr JsonValueExpr
  List MinMaxExpr NamedArgExpr ParamRef RangeFunction RangeSubselect RangeVar
  RowExpr SQLValueFunction SortBy String Integer Float Boolean BitString SubLink
  TypeCast TypeName WindowDef ColumnDef Alias`.trim().split(/\s+/),
);

const WRITE_CLAUSES: ReadonlySet<string> = new Set([
  "intoClause",
  "lockingClause",
]);

/** System relations whose content is specific to an instance or a session. */
const INSTANCE_RELATION =
  /^pg_(stat|locks$|cursors$|prepared_|settings$|file_settings$|replication_|backend_|shmem|wait_events$)/;

const CURSOR_OPT_HOLD = 0x20;
const PINNING_NODES: ReadonlySet<string> = new Set([
  "DoStmt",
  "ListenStmt",
  "LoadStmt",
  "PrepareStmt",
]);

/** Scans the parse tree of one statement. */
export function scanStatement(statement: ParseNode): StatementScan {
  const walker = new StatementWalker();
  walker.visit(statement, new Set());
  return {
    readOnly: walker.readOnly,
    pinned: walker.pinned,
    tables: [...walker.tables],
  };
}

class StatementWalker {
  readOnly = true;
  pinned = false;
  readonly tables = new Set<string>();

  /** Visits a subtree; `names` holds the common table expressions in scope. */
  visit(value: unknown, names: ReadonlySet<string>): void {
    if (typeof value !== "object" || value === null) return;
    if (Array.isArray(value)) {
      for (const item of value) this.visit(item, names);
      return;
    }
    const tree = value as ParseNode;
    const scope = this.#visitCommonTableExpressions(tree, names);
    if ("relname" in tree) this.#checkRelation(tree, scope);
    for (const key in tree) {
      if (key === "withClause") continue;
      const child = tree[key];
      if (WRITE_CLAUSES.has(key)) this.readOnly = false;
      if (isNodeName(key)) this.#checkNode(key, child as ParseNode);
      if (key === "relpersistence" && child === "t") this.pinned = true;
      this.visit(child, scope);
    }
  }

  #visitCommonTableExpressions(
    tree: ParseNode,
    names: ReadonlySet<string>,
  ): ReadonlySet<string> {
    const clause = tree.withClause as ParseNode | undefined;
    if (!clause) return names;
    const expressions = (clause.ctes ?? []) as readonly ParseNode[];
    const all = expressions.map((item) =>
      String((item.CommonTableExpr as ParseNode)?.ctename)
    );
    const scope = new Set(names);
    if (clause.recursive) { for (const name of all) scope.add(name); }
    expressions.forEach((item, index) => {
      this.visit(item, new Set(scope));
      scope.add(all[index]!);
    });
    return scope;
  }

  #checkNode(name: string, node: ParseNode): void {
    if (!READ_NODES.has(name)) this.readOnly = false;
    if (PINNING_NODES.has(name)) this.pinned = true;
    if (name === "FuncCall") this.#checkFunction(node);
    if (name === "DeclareCursorStmt") this.#checkCursor(node);
  }

  #checkCursor(node: ParseNode): void {
    if ((Number(node.options ?? 0) & CURSOR_OPT_HOLD) !== 0) this.pinned = true;
  }

  #checkRelation(node: ParseNode, names: ReadonlySet<string>): void {
    const schema = node.schemaname as string | undefined;
    const name = String(node.relname);
    if (schema?.startsWith("pg_temp")) {
      this.pinned = true;
      this.readOnly = false;
    }
    if (schema === undefined && names.has(name)) return;
    if (INSTANCE_RELATION.test(name)) this.readOnly = false;
    this.tables.add(name.toLowerCase());
  }

  #checkFunction(node: ParseNode): void {
    const path = ((node.funcname ?? []) as readonly ParseNode[])
      .map((part) =>
        String((part.String as ParseNode | undefined)?.sval ?? "")
      );
    const name = path.at(-1) ?? "";
    if (leavesSessionState(name)) this.pinned = true;
    if (name === "set_config" && !isLocalConfig(node)) this.pinned = true;
    const builtIn = path.length === 1 ||
      (path.length === 2 && path[0] === "pg_catalog");
    if (!builtIn || !STABLE_FUNCTIONS.has(name)) this.readOnly = false;
  }
}

function isNodeName(key: string): boolean {
  const first = key.charCodeAt(0);
  return first >= 65 && first <= 90;
}

/** Whether the third argument of `set_config` is the constant true. */
function isLocalConfig(call: ParseNode): boolean {
  const args = (call.args ?? []) as readonly ParseNode[];
  if (args.length !== 3) return false;
  const constant = args[2]!.A_Const as ParseNode | undefined;
  return (constant?.boolval as ParseNode | undefined)?.boolval === true;
}
