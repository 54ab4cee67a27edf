/**
 * The deploy file of a system (`deploy/system.toml`): how it is built, and which roles run on which class of machines.
 * The rules are those of the platform that deploys it.
 */
import { parse as parseToml, TomlError } from 'smol-toml';
import {
  array,
  boolean,
  enums,
  integer,
  max,
  min,
  nonempty,
  number,
  optional,
  record,
  string,
  type,
} from 'superstruct';
import { findings } from '../protocol/findings.js';
import type { Finding, Result } from '../types.js';
import { fileReader, type FileReadError } from './file-reader.js';

/** Most roles that the platform runs on one class of machines. */
const maxRolesPerClass = 2;

const shape = type({
  build: nonempty(string()),
  packages: optional(array(nonempty(string()))),
  roles: record(
    string(),
    type({
      run: nonempty(string()),
      on: nonempty(string()),
      count: optional(min(integer(), 1)),
      share: optional(max(min(number(), 0, { exclusive: true }), 1)),
      apart: optional(boolean()),
      serves: optional(array(enums(['edge', 'control']))),
      template: optional(string()),
      env: optional(record(string(), string())),
    }),
  ),
});

/** What the rules across roles read of a role: `on` is its class of machines, of which it takes a count or a share. */
type DeployRole = { on: string; count?: number; share?: number; serves?: string[] };

/** The roles checked so far: how many run on a class, and by `class service` which of them serves it there. */
type SeenRoles = { countByClass: Map<string, number>; servedBy: Map<string, string> };

/** The findings on one role beside those before it, which it is added to. */
function checkRole(name: string, role: DeployRole, seen: SeenRoles): Finding[] {
  const found: Finding[] = [];
  if ((role.count === undefined) === (role.share === undefined))
    found.push({ path: `roles.${name}`, text: 'needs either count or share' });
  const roleCount = (seen.countByClass.get(role.on) ?? 0) + 1;
  seen.countByClass.set(role.on, roleCount);
  if (roleCount > maxRolesPerClass) found.push({ path: `roles.${name}.on`, text: `${role.on} already runs two roles` });
  for (const service of role.serves ?? []) {
    const key = `${role.on} ${service}`;
    const otherRole = seen.servedBy.get(key);
    if (otherRole !== undefined)
      found.push({ path: `roles.${name}.serves`, text: `${service} is already served on ${role.on} by ${otherRole}` });
    seen.servedBy.set(key, name);
  }
  return found;
}

/** What is wrong with a deploy file, already parsed; empty for a valid one. */
function check(raw: unknown): Finding[] {
  const found = findings.fromStruct(raw, shape);
  if (found.length > 0) return found;
  const roles = Object.entries((raw as { roles: Record<string, DeployRole> }).roles);
  if (roles.length === 0) return [{ path: 'roles', text: 'names no role' }];
  const seen: SeenRoles = { countByClass: new Map(), servedBy: new Map() };
  return roles.flatMap(([name, role]) => checkRole(name, role, seen));
}

/** The value that a TOML file holds, not checked. */
function read(file: string): Result<unknown, FileReadError> {
  const content = fileReader.readText(file);
  if (!content.ok) return content;
  try {
    return { ok: true, value: parseToml(content.value) };
  } catch (error) {
    const line = error instanceof TomlError ? error.line : 1;
    const faults = [{ line, message: fileReader.firstLine((error as Error).message) }];
    return { ok: false, error: { kind: 'invalid_syntax', file, faults } };
  }
}

export const deployFile = { check, read };
