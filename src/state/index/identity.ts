// What a kept part is known by, everywhere: its namespace, that is the wall it was made behind, the
// model and the version of its weights, and the part's own name. Its position is given by the chain of
// parts before it, which is why lookups go along the chain and stop at the first gap. Two that differ
// in any of these are different parts; a mismatch is refused and never mended.
export type Namespace = { wall: string; model: string; revision: number };

function salt(n: Namespace): string {
  return `${n.wall}/${n.model}/${n.revision}`;
}

function parse(text: string): Namespace | null {
  const end = text.lastIndexOf('/');
  const at = text.indexOf('/');
  if (at <= 0 || end <= at + 1) return null;
  const revision = Number(text.slice(end + 1));
  if (!Number.isSafeInteger(revision) || revision < 0 || text.slice(end + 1) === '') return null;
  return { wall: text.slice(0, at), model: text.slice(at + 1, end), revision };
}

// Whether what a place reports under a salt can be what the salt says: made for the same model.
function agrees(text: string, model: string): boolean {
  return parse(text)?.model === model;
}

function key(text: string, part: string): string {
  return `${text} ${part}`;
}

// Weights two versions back are asked for by no one any more.
function isRetired(text: string, weights: Record<string, number>): boolean {
  const n = parse(text);
  return n !== null && n.revision < (weights[n.model] ?? 0) - 1;
}

export const identity = { salt, parse, agrees, key, isRetired };
