/** The part of `asciichart` that is used; the package brings no types. */
declare module 'asciichart' {
  /** A chart of the series, `height` rows high. */
  export function plot(series: number[], options?: { height?: number }): string;
  const asciichart: { plot: typeof plot };
  export default asciichart;
}
