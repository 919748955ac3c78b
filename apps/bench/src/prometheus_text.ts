/** Reads the Prometheus text form. */

/**
 * Sum of the series of a metric that have the labels; 0 when there is none.
 *
 * @public
 */
export function readMetric(
  text: string,
  name: string,
  labels: Readonly<Record<string, string>> = {},
): number {
  const wanted = Object.entries(labels).map(
    ([label, value]) => `${label}="${value}"`,
  );
  let sum = 0;
  for (const line of text.split('\n')) {
    const match = /^([a-zA-Z_:]+)(?:\{(.*)\})? (\S+)$/.exec(line);
    if (match?.[1] !== name) {
      continue;
    }
    const present = (match[2] ?? '').split(',');
    if (wanted.every(label => present.includes(label))) {
      sum += Number(match[3]);
    }
  }
  return sum;
}
