// The part of the shared budget of further attempts that one site may use: the ratio of its own requests
// in the running window, and its share of the slack among the sites known to be in. While the number
// of sites is unknown there is no slack. Counted in slices so that the window slides.
export type Budget = {
  windowMs: number;
  ratio: number;
  slack: number;
  slices: { at: number; asked: number; used: number }[];
};

const sliceMs = 250;
const margin = 0.75;

function create(windowMs: number, ratio: number, slack: number): Budget {
  return { windowMs, ratio, slack, slices: [] };
}

function slice(b: Budget, now: number): { at: number; asked: number; used: number } {
  const start = Math.floor(now / sliceMs) * sliceMs;
  const last = b.slices.at(-1);
  if (last && last.at === start) return last;
  const s = { at: start, asked: 0, used: 0 };
  b.slices.push(s);
  while (b.slices.length > 0 && b.slices[0]!.at < now - b.windowMs - sliceMs) b.slices.shift();
  return s;
}

function asked(b: Budget, now: number): void {
  slice(b, now).asked++;
}

function take(b: Budget, now: number, sites: number): boolean {
  const here = slice(b, now);
  let n = 0;
  let used = 0;
  for (const s of b.slices) {
    n += s.asked;
    used += s.used;
  }
  const slack = sites > 0 ? (b.slack * margin) / sites : 0;
  if (used + 1 > n * b.ratio * margin + slack) return false;
  here.used++;
  return true;
}

export const budget = { create, asked, take };
