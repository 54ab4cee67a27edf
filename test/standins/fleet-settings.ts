/** Addresses, settings and the configuration of the fleet that `fleet.ts` starts. */
import type { NodePlace } from './machine.js';

/** Hosts of a fleet are 127.`net`.0.`hostNumber`. */
export function ip(net: number, hostNumber: number): string {
  return `127.${net}.0.${hostNumber}`;
}

/** The port of each server; they differ by host, so that all fleets can use the same ones. */
export const ports = { client: 18080, ready: 18081, control: 18082, rpc: 18083, platform: 18084, runner: 18085 };

/** The model that all runners serve. */
export const model = 'm-small';

/** Host numbers of the three coordinators. */
export const coordinatorHosts = [1, 2, 3];
/** The host number before that of the first router; routers are counted from 1. */
export const routerHostBase = 10;
/** The host number of the first runner. */
export const firstRunnerHost = 50;
/** The host number of the prefix store. */
export const storeHost = 60;
/** The host number of the platform's API. */
export const platformHost = 99;

/** What the settings say of the machine (`limits`), as far as a test sets it. */
export type NodeLimits = { memory_mb?: number; max_fds?: number };

/**
 * The settings of one node. `isFirstStart` lets it form a new replica group.
 */
export function settingsOf(net: number, node: NodePlace, isFirstStart: boolean, limits: NodeLimits = {}): object {
  const seeds = coordinatorHosts.map((hostNumber) => `${ip(net, hostNumber)}:${ports.control}`);
  return {
    node_name: node.name,
    ip_addr: node.ip,
    zone_name: 'z1',
    zones: { z1: 'r1' },
    bind_addrs:
      node.program === 'router'
        ? { front_addr: `${node.ip}:${ports.client}`, ready_probe: `${node.ip}:${ports.ready}` }
        : { control_addr: `${node.ip}:${ports.control}` },
    port_range: [ports.rpc, ports.rpc],
    seed_addrs: seeds,
    is_first_start: isFirstStart,
    data_dir: node.program === 'coordinator' ? node.dataDir : null,
    beat_ms: 1000,
    limits,
    bound_set: {
      contact_ms: 3000,
      ack_ms: 4000,
      catch_up_s: 4,
      drain_ms: 3000,
      grace_s: 3,
      apply_ms: 2000,
      retry_ratio: 0.2,
      retry_window_s: 10,
      retry_slack: 58,
      transit_ms: 120,
      lease_ms: 500,
      thaw_ms: 300,
      version_ms: 8000,
      reuse_after_s: 2,
    },
    cloud_api: { address: `${ip(net, platformHost)}:${ports.platform}`, rate_per_s: 47, lag_ms: 100 },
  };
}

/** A configuration with a resumable and an at-most-once route, one pool, a prefix store and two tenants. */
export function configuration(revision: number, net = 71): Record<string, unknown> {
  return {
    revision,
    route_list: [
      {
        label: 'gen',
        hostname: 'a.example',
        path_prefix: '/gen/',
        variant: 'streaming',
        deadline_ms: 3000,
        target_ms: 300,
        rank: 0,
        target: 's-llm',
        tries: 2,
        public: false,
        resumable: true,
        gap_target_ms: 250,
      },
      {
        label: 'once',
        hostname: 'a.example',
        path_prefix: '/once/',
        variant: 'streaming',
        deadline_ms: 3000,
        target_ms: 600,
        rank: 1,
        target: 's-llm',
        tries: 2,
        public: false,
        resumable: false,
      },
    ],
    service_list: [
      { label: 's-store', kv_store_addr: `${ip(net, storeHost)}:${ports.runner}`, zone_name: 'z1' },
      {
        label: 's-llm',
        health_path: '/health',
        max_conns: 20,
        engine_kind: { slot_count: 4, model_list: [{ label: model }] },
      },
    ],
    limits: { header_bytes: 8192, body_bytes: 100_000, header_ms: 2000, idle_ms: 5000 },
    tenant_list: [
      { label: 't-one', api_keys: ['key-one'] },
      { label: 't-two', api_keys: ['key-two'], isolated: true },
    ],
    note: { kept: 'as it is' },
  };
}
