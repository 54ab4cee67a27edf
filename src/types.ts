// The shared types of the system, gathered in one module: outcomes and findings, what a process is
// told, what the operator configures, what runners and the platform report, and what the programs
// say to one another.

import type { OutcomeRow, Verdict } from './coordination/health/jury.js';
import type { BoardDelta } from './state/history/boards.js';
import type { ConfigurationDelta } from './state/history/configurations.js';

export type Outcome<T, E> = { ok: true; value: T } | { ok: false; error: E };
export type Finding = { place: string; text: string };

export type Bounds = {
  contact_ms: number;
  ack_ms: number;
  catch_up_s: number;
  drain_ms: number;
  grace_s: number;
  apply_ms: number;
  retry_ratio: number;
  retry_window_s: number;
  retry_slack: number;
  transit_ms: number;
  lease_ms: number;
  thaw_ms: number;
  version_ms: number;
  reuse_after_s: number;
};

export type Settings = {
  node_name: string;
  ip_addr: string;
  zone_name: string;
  zones: Record<string, string>;
  bind_addrs: { front_addr?: string; ready_probe?: string; control_addr?: string };
  port_range: [number, number];
  seed_addrs: string[];
  is_first_start: boolean;
  data_dir?: string | null;
  beat_ms: number;
  bound_set: Bounds;
  cloud_api: { address: string; rate_per_s: number; lag_ms: number };
};

export type Branch = { target: string; share: number };
export type Route = {
  label: string;
  hostname: string;
  path_prefix: string;
  variant: 'idempotent' | 'non_idempotent' | 'streaming';
  deadline_ms: number;
  target_ms?: number;
  rank?: number;
  target?: string;
  branches?: Branch[];
  tries?: number;
  public?: boolean;
  pinned?: boolean;
  resumable?: boolean;
  gap_target_ms?: number;
};
export type EngineKind = {
  slot_count?: number;
  kv_capacity?: number;
  token_bytes?: number;
  link_mbps?: number;
  max_in_flight?: number;
  model_list?: { label: string }[];
};
export type Service = {
  label: string;
  health_path?: string;
  max_conns?: number;
  engine_kind?: EngineKind;
  kv_store_addr?: string;
  zone_name?: string;
  kv_capacity?: number;
  link_mbps?: number;
  max_in_flight?: number;
};
export type Tenant = { label: string; api_keys: string[]; rank?: number; isolated?: boolean; model_rule?: string[] };
export type Limits = { header_bytes?: number; body_bytes?: number; header_ms?: number; idle_ms?: number };
export type Configuration = {
  revision: number;
  route_list: Route[];
  service_list: Service[];
  limits?: Limits;
  tenant_list?: Tenant[];
};

export type ModelAt = { label: string; revision: number };
export type Runner = {
  id: string;
  service: string;
  addr: string;
  zone: string;
  slots: number;
  draining: boolean;
  models: ModelAt[];
  parked: boolean;
};

export type MemberId = string;
export type Member = { id: MemberId; addr: string; control: string };

// What the leader tells the other coordinators and, through them, the sites: soft state that is
// rebuilt by whoever wins the next term, ordered by (term, seq).
export type Board = {
  term: number;
  seq: number;
  runners: Runner[] | null;
  sites: number;
};

// `whole` asks for configuration and board whole: a difference that was told did not fit. `acceptsStale`
// asks a coordinator that is not up to date for what it has, see dataplane/follow.ts.
export type NewsCall = {
  site: string;
  life: string;
  revision: number;
  board: [number, number];
  weights: number;
  rules: number;
  hold: number;
  whole: boolean;
  acceptsStale: boolean;
};
export type NewsAnswer = {
  configuration: Configuration | null;
  configurationDelta: ConfigurationDelta | null;
  weights: Record<string, number> | null;
  weightsSeq: number;
  rules: RulesState | null;
  board: Board | null;
  boardDelta: BoardDelta | null;
  leader: string | null;
  coordinators: string[];
  fresh: boolean;
  leave: boolean;
};

// The access rules in effect, and those that wait for their activation.
export type RulesState = {
  seq: number;
  active: Record<string, string[]>;
  next: Record<string, string[]> | null;
  pending: number;
};

// A place's load: requests running, prompt tokens still to be read, tokens of memory claimed, leases
// held on it as a source of moves, milliseconds of moves queued to it.
export type Load = [number, number, number, number, number];
export type LoadRow = [string, ...Load];

export type FeedCall = {
  site: string;
  life: string;
  since: [number, number];
  hotSeq: number;
  hold: number;
  load: LoadRow[];
  loadNo: number;
  loadSeen: number;
  unhealthy: string[];
  outcomes: OutcomeRow[];
  verdictSeq: number;
  held: [string, string, number, string][];
  report: { seq: number; era: number; m: number; counts: [string, number, number][]; gather: number } | null;
};
export type FeedAnswer = {
  term: number;
  at: number;
  whole: boolean;
  changes: [string, string, string, number, string][];
  loads: { revision: number; whole: boolean; rows: LoadRow[]; shownNo: number } | null;
  beatMs: number;
  verdicts: { seq: number; rows: Verdict[] } | null;
  taken: number;
  known: boolean;
  tracking: Tracking;
};
export type Tracking = {
  k: number;
  total: number;
  gather: number;
  era: number;
  hotSeq: number;
  hot: { whole: boolean; upserts: HotRow[]; removals: string[] } | null;
};
export type HotRow = [string, number, number];

// `id` names one call at the coordinator that took it, for the logs; what makes two calls the same order
// is the digest of the rest (state/control/orders.ts).
export type OperatorCall = { id: string; method: string; path: string; match: string | null; body: Uint8Array };
export type OperatorAnswer = { status: number; body: string };

export type StatusAnswer = {
  node: string;
  phase: string;
  term: number;
  leader: string | null;
  sure: boolean;
  acts: boolean;
  roster: { id: string; control: string; heardMs: number | null; match: number | null }[];
  committed: number;
  disk: 'takes' | 'refuses';
  configuration: number;
  weights: Record<string, number>;
  rules: { active: Record<string, string[]>; pending: number };
  sites: { site: string; revision: number; seenMs: number }[];
  runners: {
    id: string;
    service: string;
    addr: string;
    zone: string;
    draining: boolean;
    parked: boolean;
    models: ModelAt[];
    unhealthyAt: number | null;
    verdict: string | null;
  }[];
  hot: { part: string; share: number; tokens: number }[] | null;
};

// What may be set on the command line of the daemons; the defaults stand in tuning.ts.
export type Tuning = {
  epsilon: number;
  phi: number;
  movedTokens: number;
  hotSet: boolean;
  orderMethod: 'await' | 'truncate' | 'retain';
  orderShare: number;
  urgency: boolean;
  transfers: boolean;
};
