/** The sets of one to `most` numbers below `count`. */
export function subsets(count: number, most: number): number[][] {
  const numbers = Array.from({ length: count }, (_, number) => number);
  let larger: number[][] = [[]];
  const all: number[][] = [];
  for (let size = 1; size <= most; size++) {
    larger = larger.flatMap((set) => numbers.filter((number) => number > (set.at(-1) ?? -1)).map((n) => [...set, n]));
    all.push(...larger);
  }
  return all;
}
