/**
 * Schedules of a soak: what is done to processes, links, runners, platform and configuration, and when. A schedule is a
 * function of its seed and size; it is printed, can be read back, and is made smaller by leaving entries out.
 */
import { luck, type Luck } from '../support/random.js';

/** How many processes and runners, and for how long they are under trouble. */
export type SoakSize = { seconds: number; coordinators: number; routers: number; runners: number };

/** What a proxy does with the bytes of the connections concerned. `drop` swallows them until the link is well again. */
export type LinkEffect = 'delay' | 'drop' | 'reset' | 'hold_requests' | 'hold_responses';

/** How a change of the configuration is drawn; see `configurations.ts`. */
export type ChangeKind =
  | 'rotate_key'
  | 'toggle_isolation'
  | 'remove_tenant'
  | 'add_tenant'
  | 'add_route'
  | 'remove_route'
  | 'move_route'
  | 'change_numbers'
  | 'add_odd_item';

export type Action =
  | { kind: 'terminate' | 'kill'; node: string; downMs: number }
  | { kind: 'hang_up'; node: string }
  | { kind: 'freeze'; node: string; forMs: number }
  /** Its disk is empty when it comes back; skipped where more disks would be lost than the deployment bears. */
  | { kind: 'wipe'; node: string; downMs: number }
  | { kind: 'kill_core'; downMs: number }
  /** The RPC links to a coordinator, of all callers or of about half of them. */
  | { kind: 'link'; node: string; callers: 'all' | 'half'; effect: LinkEffect; forMs: number; salt: number }
  | { kind: 'change'; change: ChangeKind; draw: number; isWhole: boolean }
  | { kind: 'race'; count: number; draw: number }
  | { kind: 'invalid_order'; draw: number }
  | { kind: 'name_weights' }
  | { kind: 'crash_runner'; runner: number; how: 'fin' | 'reset'; downMs: number; isOtherService: boolean }
  | { kind: 'drain_runner'; runner: number }
  | { kind: 'platform'; effect: 'silent' | 'too_many' | 'failing'; forMs: number };

export type ScheduleEntry = { atMs: number; action: Action };
export type SoakSchedule = { seed: number; size: SoakSize; entries: ScheduleEntry[] };

/** Nothing is done before, so that the fleet is up. */
const calmStartMs = 1500;
/** Nothing is done in the last part, so that all machines are in touch at the end. */
const calmEndMs = 4000;
const mostInBurst = 5;
/** Share of the schedules in which disks are lost right after the first acknowledgement. */
const foundingShare = 0.5;
/** How many coordinators the settings name as seeds; these found the group. */
const founderCount = 3;

const changes: ChangeKind[] = [
  'rotate_key',
  'rotate_key',
  'toggle_isolation',
  'toggle_isolation',
  'remove_tenant',
  'add_tenant',
  'add_route',
  'remove_route',
  'move_route',
  'change_numbers',
  'add_odd_item',
];
const linkEffects: LinkEffect[] = ['delay', 'drop', 'reset', 'hold_requests', 'hold_responses'];

function between(source: Luck, least: number, most: number): number {
  return least + luck.below(source, most - least + 1);
}

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}

/** The names of the coordinators of a size, in the order of the seeds. */
function coreNodes(size: SoakSize): string[] {
  return names('core', size.coordinators);
}

function routerNodes(size: SoakSize): string[] {
  return names('edge', size.routers);
}

function drawProcessFault(source: Luck, size: SoakSize): Action {
  const cores = coreNodes(size);
  const routers = routerNodes(size);
  const node = luck.pick(source, luck.next(source) < 0.5 ? cores : routers);
  const core = luck.pick(source, cores);
  const downMs = between(source, 50, 2500);
  const kinds: (() => Action)[] = [
    () => ({ kind: 'terminate', node, downMs: between(source, 0, 800) }),
    () => ({ kind: 'terminate', node: luck.pick(source, routers), downMs: between(source, 0, 800) }),
    () => ({ kind: 'kill', node, downMs }),
    () => ({ kind: 'hang_up', node }),
    () => ({ kind: 'freeze', node, forMs: between(source, 100, 4000) }),
    () => ({ kind: 'wipe', node: core, downMs }),
    () => ({ kind: 'wipe', node: core, downMs: between(source, 50, 400) }),
    () => ({ kind: 'kill_core', downMs: between(source, 50, 900) }),
    () => ({
      kind: 'link',
      node: core,
      callers: luck.pick(source, ['all', 'half'] as const),
      effect: luck.pick(source, linkEffects),
      forMs: between(source, 200, 4000),
      salt: luck.below(source, 1000),
    }),
  ];
  return luck.pick(source, kinds)();
}

function drawOutsideFault(source: Luck, size: SoakSize): Action {
  const runner = luck.below(source, size.runners);
  const kinds: (() => Action)[] = [
    () => ({
      kind: 'crash_runner',
      runner,
      how: luck.pick(source, ['fin', 'reset'] as const),
      downMs: between(source, 300, 3000),
      isOtherService: luck.next(source) < 0.3,
    }),
    () => ({ kind: 'drain_runner', runner }),
    () => ({
      kind: 'platform',
      effect: luck.pick(source, ['silent', 'too_many', 'failing'] as const),
      forMs: between(source, 200, 3000),
    }),
  ];
  return luck.pick(source, kinds)();
}

function drawOrder(source: Luck): Action {
  const draw = luck.below(source, 2 ** 31);
  const share = luck.next(source);
  if (share < 0.1) return { kind: 'invalid_order', draw };
  if (share < 0.25) return { kind: 'race', count: between(source, 2, 8), draw };
  if (share < 0.35) return { kind: 'name_weights' };
  return { kind: 'change', change: luck.pick(source, changes), draw, isWhole: luck.next(source) < 0.4 };
}

function drawAction(source: Luck, size: SoakSize): Action {
  const share = luck.next(source);
  if (share < 0.45) return drawOrder(source);
  return share < 0.8 ? drawProcessFault(source, size) : drawOutsideFault(source, size);
}

/** As many disks as a core bears, mostly founders', lost right behind the first acknowledgement. */
function drawFoundingLosses(source: Luck, size: SoakSize): ScheduleEntry[] {
  if (luck.next(source) >= foundingShare) return [];
  const cores = coreNodes(size);
  const entries: ScheduleEntry[] = [];
  for (let lost = 0; lost < Math.floor((size.coordinators - 1) / 2); lost++) {
    const candidates = luck.next(source) < 0.8 ? founderCount - lost : cores.length;
    const [node] = cores.splice(luck.below(source, candidates), 1);
    entries.push({ atMs: between(source, 0, 40), action: { kind: 'wipe', node: node!, downMs: 400 } });
  }
  return entries.sort((a, b) => a.atMs - b.atMs);
}

/** Entries come in bursts that overlap, with calm between some of them. */
function draw(seed: number, size: SoakSize): SoakSchedule {
  const source = luck.create(seed);
  const entries = drawFoundingLosses(source, size);
  const lastMs = size.seconds * 1000 - calmEndMs;
  let atMs = calmStartMs;
  while (atMs < lastMs) {
    const count = between(source, 1, mostInBurst);
    for (let i = 0; i < count && atMs < lastMs; i++) {
      entries.push({ atMs, action: drawAction(source, size) });
      atMs += between(source, 0, 700);
    }
    atMs += luck.next(source) < 0.5 ? between(source, 200, 2000) : between(source, 4000, 9000);
  }
  return { seed, size, entries };
}

function isSchedule(value: unknown): value is SoakSchedule {
  const read = value as Partial<SoakSchedule> | null;
  return typeof read?.seed === 'number' && typeof read.size?.seconds === 'number' && Array.isArray(read.entries);
}

/** Reads what `format` wrote; throws on anything else. */
function parse(text: string): SoakSchedule {
  const value: unknown = JSON.parse(text);
  if (!isSchedule(value)) throw new Error('this is no schedule: seed, size and entries are expected');
  return value;
}

/** One entry a line, so that entries can be left out by hand. */
function format({ seed, size, entries }: SoakSchedule): string {
  const lines = entries.map((entry) => `    ${JSON.stringify(entry)}`);
  return `{"seed": ${seed}, "size": ${JSON.stringify(size)},\n  "entries": [\n${lines.join(',\n')}\n]}\n`;
}

/** `schedule` without the entries at these positions. */
function without(schedule: SoakSchedule, positions: Set<number>): SoakSchedule {
  return { ...schedule, entries: schedule.entries.filter((_, position) => !positions.has(position)) };
}

/**
 * Makes a failing schedule smaller: halves, quarters and so on of its entries are left out as long as it still fails.
 * `fails` plays a schedule; at most `mostPlays` are played.
 */
async function shrink(
  schedule: SoakSchedule,
  fails: (candidate: SoakSchedule) => Promise<boolean>,
  mostPlays: number,
): Promise<SoakSchedule> {
  let smallest = schedule;
  let plays = 0;
  for (let length = Math.ceil(smallest.entries.length / 2); length >= 1; length = Math.floor(length / 2)) {
    for (let from = 0; from < smallest.entries.length && plays < mostPlays;) {
      const left = new Set(Array.from({ length }, (_, index) => from + index));
      const candidate = without(smallest, left);
      plays++;
      if (await fails(candidate)) smallest = candidate;
      else from += length;
    }
  }
  return smallest;
}

export const soakSchedules = { draw, parse, format, shrink, coreNodes, routerNodes };
