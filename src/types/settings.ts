/**
 * The settings file of a process, with the names and units of the users' pages (deployment page, "What a process is
 * told"). `_ms` is in milliseconds, `_s` in seconds; addresses are `ip:port`.
 */

/** The bounds that a deployment sets (`bound_set`). */
export type Bounds = {
  /** A machine without contact to the others for so long is out of touch. */
  contact_ms: number;
  /** An order of an operator has to be acknowledged within it. */
  ack_ms: number;
  /** For so long after its return a machine still counts as lost. */
  catch_up_s: number;
  /** For so long a runner serves on once the list has it as draining; no new request may reach it afterwards. */
  drain_ms: number;
  /** From the platform's SIGTERM to its SIGKILL. */
  grace_s: number;
  /** An acknowledged configuration has to be in force at all routers within it. */
  apply_ms: number;
  /** Retries a request that all routers together may send in a window. */
  retry_ratio: number;
  retry_window_s: number;
  /** Retries in a window, of all routers together, beyond that ratio. */
  retry_slack: number;
  /** An event of a stream has to reach the client within it. */
  transit_ms: number;
  /** Two leaders must not order runners in turn within it. */
  lease_ms: number;
  /** Orders that arrive so soon after their sender was frozen are not held against it. */
  thaw_ms: number;
  /** Within it after new weights are acknowledged, no runner may run a request on older ones. */
  version_ms: number;
  /** After so long the address of a runner that has ended may be given to one of another service. */
  reuse_after_s: number;
};

/** The settings file of a process. Fields that are not named here are ignored. */
export type Settings = {
  node_name: string;
  /** Without a port. */
  ip_addr: string;
  zone_name: string;
  /** The region of each zone. */
  zones: Record<string, string>;
  /** Where the process serves clients, the platform's readiness probe, and operators: each as its role has it. */
  bind_addrs: { front_addr?: string; ready_probe?: string; control_addr?: string };
  /** The first and the last port that is free for RPC between the processes of the system. */
  port_range: [number, number];
  /** The `control_addr` of some coordinators. */
  seed_addrs: string[];
  /** True only when the whole system starts for the first time, with empty disks. */
  is_first_start: boolean;
  /** Null or missing where the process has no disk. */
  data_dir?: string | null;
  /** Checked, but not used: the intervals of heartbeats are constants of ours. */
  beat_ms: number;
  /** How many machines may be lost at once with all rules observed. */
  tolerance?: { machine_losses: number };
  /**
   * The machine: its link in megabits a second, the memory in MB over which the process is killed, and how many
   * descriptors it may have open.
   */
  limits?: { link_mbps?: number; memory_mb?: number; max_fds?: number };
  bound_set: Bounds;
  /** The platform's list of runners: where it is, how many calls a second all processes may make, how old it may be. */
  cloud_api: { address: string; rate_per_s: number; lag_ms: number };
};
