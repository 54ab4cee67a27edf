/** What the operator configures (`/v1/config`), with the names and units of the users' pages; `_ms` in milliseconds. */

/** A service and its share of a route's requests; shares need not sum to 1. */
export type Branch = { target: string; share: number };

/** Which requests go to which services, and on what terms. */
export type Route = {
  /** Unique among routes. */
  label: string;
  hostname: string;
  /** Begins and ends with a slash; the longest that begins the path of a request decides. */
  path_prefix: string;
  /** Whether a request may run more than once; a `streaming` one may only if it is `resumable`. */
  variant: 'idempotent' | 'non_idempotent' | 'streaming';
  /** The longest that a request may be held. */
  deadline_ms: number;
  /** The latency target: up to the first event of a stream, or to the end of any other answer; else the deadline. */
  target_ms?: number;
  /** 0, the default, is the most urgent. */
  rank?: number;
  /** The label of the one service; else see `branches`. */
  target?: string;
  /** The services among which requests are divided, by their shares. */
  branches?: Branch[];
  /** The most runners that one request may be sent to; 1 by default. */
  tries?: number;
  /** No key is asked for. */
  public?: boolean;
  /** Requests name their model and the blocks of their prompt. */
  pinned?: boolean;
  /** A stream may be taken up at another runner with `Last-Event-Id`. */
  resumable?: boolean;
  /** The longest pause between two events of a stream that is in time. */
  gap_target_ms?: number;
};

/** What the runners of a service are. */
export type EngineKind = {
  /** Requests that a runner executes at once. */
  slot_count?: number;
  /** Tokens in the KV cache of a runner. */
  kv_capacity?: number;
  /** Bytes of a token in the KV cache. */
  token_bytes?: number;
  /** The link on which a runner transfers blocks, in megabits a second. */
  link_mbps?: number;
  /** Calls for cache events that a runner holds at once. */
  max_in_flight?: number;
  model_list?: { label: string }[];
};

/** A service with runners, or, where it has `kv_store_addr`, a store of prefix blocks. */
export type Service = {
  /** Unique among services. */
  label: string;
  health_path?: string;
  /** Connections that a runner accepts from all callers together. */
  max_conns?: number;
  engine_kind?: EngineKind;
  /** "host:port" of the store, with its zone, capacity in tokens, link and calls held at once, as above. */
  kv_store_addr?: string;
  zone_name?: string;
  kv_capacity?: number;
  link_mbps?: number;
  max_in_flight?: number;
};

/** A user of the fleet, known by keys. */
export type Tenant = {
  /** Unique among tenants; goes to the runners. */
  label: string;
  api_keys: string[];
  /** Goes before that of a route. */
  rank?: number;
  /** Shares no cached prefix with another tenant. */
  isolated?: boolean;
  /** The labels of the models that it may call, `*` for every one; all if missing. */
  model_rule?: string[];
};

/** What a client may send: bytes of a head and of a body; ms for a head, and ms that a connection may be idle. */
export type Limits = { header_bytes?: number; body_bytes?: number; header_ms?: number; idle_ms?: number };

/** What the operator configures; `revision` rises with each change. */
export type Configuration = {
  revision: number;
  route_list: Route[];
  service_list: Service[];
  limits?: Limits;
  tenant_list?: Tenant[];
};
