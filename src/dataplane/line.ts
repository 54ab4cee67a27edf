// Where requests wait at the site for a runner: the more urgent rank is tried first, but each rank is
// worth only so much waiting, so that nobody is passed over for long.
export type Waiter = { key: number; attempt: () => boolean; end: (found: boolean) => void };
export type Line = { waiters: Waiter[]; timer: NodeJS.Timeout | null };

const rankMs = 60;
const lookMs = 25;

function create(): Line {
  return { waiters: [], timer: null };
}

function keyOf(rank: number, at: number): number {
  return at + Math.max(0, rank) * rankMs;
}

// Tries all that wait, in order; those that found a runner leave.
function stir(l: Line): void {
  if (l.waiters.length === 0) return;
  const all = [...l.waiters].sort(function first(a, b) {
    return a.key - b.key;
  });
  for (const w of all) if (w.attempt()) w.end(true);
}

function leave(l: Line, w: Waiter): void {
  const at = l.waiters.indexOf(w);
  if (at >= 0) l.waiters.splice(at, 1);
  if (l.waiters.length === 0 && l.timer) {
    clearInterval(l.timer);
    l.timer = null;
  }
}

// Waits until the attempt succeeds or the time is over.
function wait(l: Line, key: number, ms: number, attempt: () => boolean): Promise<boolean> {
  return new Promise(function run(done) {
    const w: Waiter = {
      key,
      attempt,
      end: function end(found) {
        clearTimeout(timer);
        leave(l, w);
        done(found);
      },
    };
    const timer = setTimeout(function over() {
      w.end(attempt());
    }, ms);
    l.waiters.push(w);
    l.timer ??= setInterval(function timer() {
      stir(l);
    }, lookMs);
  });
}

export const line = { create, keyOf, stir, wait };
