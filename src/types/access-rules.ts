/** The rules that say which tenant may call which model. */

/**
 * The access rules as replicated: those in effect, and those that wait for their activation with the revision
 * that brought them (`pendingRevision`, 0 for none). Each names the models of a tenant by the tenant's label.
 * `seq` rises with each change.
 */
export type AccessRulesState = {
  seq: number;
  activeRules: Record<string, string[]>;
  pendingRules: Record<string, string[]> | null;
  pendingRevision: number;
};
