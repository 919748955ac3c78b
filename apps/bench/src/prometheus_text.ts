/** Parses the Prometheus text exposition format. */

/**
 * Sums the series of a metric that have the given labels. Returns 0 if there
 * are none.
 *
 * @public
 */
export function sumSeries(
  text: string,
  name: string,
  labels: Readonly<Record<string, string>> = {},
): number {
  const expectedLabels = Object.entries(labels).map(
    ([label, value]) => `${label}="${value}"`,
  );
  let sum = 0;
  for (const line of text.split('\n')) {
    const match = /^([a-zA-Z_:]+)(?:\{(.*)\})? (\S+)$/.exec(line);
    if (match?.[1] !== name) {
      continue;
    }
    const seriesLabels = (match[2] ?? '').split(',');
    if (expectedLabels.every(label => seriesLabels.includes(label))) {
      sum += Number(match[3]);
    }
  }
  return sum;
}
