import * as echarts from 'echarts';

/** Page layout, plots and escaping shared by the HTML reports. */

const PLOT_SIZE = {widthPx: 860, heightPx: 260} as const;

const STYLE = `
body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:900px;color:#1c2733}
table{border-collapse:collapse;width:100%;font-size:14px}
th,td{padding:.3rem .6rem;border-bottom:1px solid #dde3ea;text-align:left}
td.number,th.number{text-align:right;font-variant-numeric:tabular-nums}
.page{background:#fbdcd9}.ticket{background:#fdf1cf}
h1{font-size:1.5rem}h2{font-size:1.15rem;margin-top:2rem}
.note{color:#56657a}`;

/** Formats a self-contained page; `parts` are HTML. @internal */
export function formatPage(title: string, parts: readonly string[]): string {
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8">',
    `<title>${escapeHtml(title)}</title>`,
    `<style>${STYLE}</style></head><body>`,
    ...parts,
    '</body></html>',
    '',
  ].join('\n');
}

/** Renders a heading and a plot as inline SVG. @internal */
export function renderPlot(
  title: string,
  option: echarts.EChartsOption,
): string {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: PLOT_SIZE.widthPx,
    height: PLOT_SIZE.heightPx,
  });
  chart.setOption({animation: false, ...option});
  const svg = chart.renderToSVGString();
  chart.dispose();
  return `<h2>${escapeHtml(title)}</h2>\n${svg}`;
}

/** Escapes text for use in HTML content and attributes. @internal */
export function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
