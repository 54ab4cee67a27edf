/**
 * Reads and checks the settings file that the platform lays out for a process. Every wrong or missing field
 * becomes a finding with its path; unknown fields are ignored.
 */
import { readFileSync } from 'node:fs';
import { load } from 'js-yaml';
import {
  array,
  boolean,
  integer,
  min,
  nonempty,
  nullable,
  number,
  optional,
  record,
  size,
  string,
  type,
} from 'superstruct';
import type { Finding, Result, Settings } from '../../types.js';
import { findings } from '../findings.js';

const atLeastZero = min(number(), 0);
const aboveZero = min(number(), 0, { exclusive: true });
const addressText = nonempty(string());

/** The file's shape; names and units are the platform's (`Settings` in `src/types/settings.ts`). */
const shape = type({
  node_name: nonempty(string()),
  ip_addr: nonempty(string()),
  zone_name: nonempty(string()),
  zones: record(string(), string()),
  bind_addrs: type({
    front_addr: optional(addressText),
    ready_probe: optional(addressText),
    control_addr: optional(addressText),
  }),
  port_range: size(array(min(integer(), 1)), 2),
  seed_addrs: nonempty(array(addressText)),
  is_first_start: boolean(),
  data_dir: optional(nullable(string())),
  beat_ms: atLeastZero,
  bound_set: type({
    contact_ms: atLeastZero,
    ack_ms: atLeastZero,
    catch_up_s: atLeastZero,
    drain_ms: atLeastZero,
    grace_s: atLeastZero,
    apply_ms: atLeastZero,
    retry_ratio: atLeastZero,
    retry_window_s: aboveZero,
    retry_slack: atLeastZero,
    transit_ms: atLeastZero,
    lease_ms: atLeastZero,
    thaw_ms: atLeastZero,
    version_ms: atLeastZero,
    reuse_after_s: atLeastZero,
  }),
  tolerance: optional(type({ machine_losses: min(integer(), 0) })),
  limits: optional(
    type({ link_mbps: optional(aboveZero), memory_mb: optional(aboveZero), max_fds: optional(min(integer(), 1)) }),
  ),
  cloud_api: type({ address: addressText, rate_per_s: aboveZero, lag_ms: atLeastZero }),
});

/** The program that the settings are for. */
type Role = 'router' | 'coordinator';

const requiredAddresses: Record<Role, (keyof Settings['bind_addrs'])[]> = {
  router: ['front_addr', 'ready_probe'],
  coordinator: ['control_addr'],
};

/** `ip:port`, IPv4. */
const addressPattern = /^[\d.]+:\d+$/;

/** What the role needs beyond what all processes need, and the form of addresses. */
function roleFindings(settings: Settings, role: Role): Finding[] {
  const found: Finding[] = [];
  for (const name of requiredAddresses[role]) {
    const bound = settings.bind_addrs[name];
    if (!bound) found.push({ path: `bind_addrs.${name}`, text: `a ${role} needs this address` });
    else if (!addressPattern.test(bound)) found.push({ path: `bind_addrs.${name}`, text: 'expected IP:PORT' });
  }
  if (role === 'coordinator' && !settings.data_dir)
    found.push({ path: 'data_dir', text: 'a coordinator needs a folder on a disk' });
  settings.seed_addrs.forEach((seed, index) => {
    if (!addressPattern.test(seed)) found.push({ path: `seed_addrs.${index}`, text: 'expected IP:PORT' });
  });
  return found;
}

/** The settings, or all that is wrong with them for a process of this role. */
function check(raw: unknown, role: Role): Result<Settings, Finding[]> {
  const found = findings.fromStruct(raw, shape);
  if (found.length === 0) found.push(...roleFindings(raw as Settings, role));
  return found.length > 0 ? { ok: false, error: found } : { ok: true, value: raw as Settings };
}

/** As `check`, on a YAML file; a file that cannot be read or parsed is a finding with the file's path. */
function read(path: string, role: Role): Result<Settings, Finding[]> {
  let raw: unknown;
  try {
    raw = load(readFileSync(path, 'utf8'));
  } catch (error) {
    return { ok: false, error: [{ path, text: (error as Error).message.split('\n')[0] ?? 'unreadable' }] };
  }
  return check(raw, role);
}

export const settings = { check, read };
