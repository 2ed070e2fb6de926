/** Percentile curves as inline SVG. */

import type {CurvePoint} from './latency-record.js';

const WIDTH = 640;
const HEIGHT = 320;
const MARGIN = 48;

/** Percentiles marked on the axis. */
const MARKED_PERCENTILES = [0, 50, 90, 99, 99.9, 99.99];

/** Colours of curves, in turn. */
const COLOURS = [
  '#7f7f7f',
  '#1f77b4',
  '#2ca02c',
  '#ff7f0e',
  '#9467bd',
  '#d62728',
  '#000000',
];

/** One curve. */
export interface PlotCurve {
  readonly name: string;
  readonly points: readonly CurvePoint[];
}

/** Draws curves over percentiles; both axes are logarithmic. */
export function plotCurves(curves: readonly PlotCurve[]): string {
  const latencies = curves.flatMap(curve =>
    curve.points.map(point => Math.max(1, point.latencyMs)),
  );
  const lowest = Math.log10(Math.min(...latencies));
  const highest = Math.log10(Math.max(...latencies));
  const toY = (latencyMs: number) => {
    const part =
      (Math.log10(Math.max(1, latencyMs)) - lowest) / (highest - lowest || 1);
    return HEIGHT - MARGIN - part * (HEIGHT - 2 * MARGIN);
  };
  const lines = curves.map((curve, index) => drawCurve(curve, index, toY));
  const marks = createLatencyMarks(lowest, highest).map(latencyMs =>
    drawLatencyMark(latencyMs, toY(latencyMs)),
  );
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" height="${HEIGHT}" role="img">`,
    ...MARKED_PERCENTILES.map(drawPercentileMark),
    ...marks,
    ...lines,
    '</svg>',
  ].join('\n');
}

/** Places percentiles by how few requests lie beyond them. */
function toX(percentile: number): number {
  const beyond = Math.max(1 - percentile / 100, 0.0001);
  const part = -Math.log10(beyond) / 4;
  return MARGIN + part * (WIDTH - 2 * MARGIN);
}

function drawCurve(
  {name, points}: PlotCurve,
  index: number,
  toY: (latencyMs: number) => number,
): string {
  const colour = COLOURS[index % COLOURS.length];
  const path = points
    .map(
      point =>
        `${toX(point.percentile).toFixed(1)},${toY(point.latencyMs).toFixed(1)}`,
    )
    .join(' ');
  const y = MARGIN + index * 14;
  return [
    `<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="1.5"/>`,
    `<text x="${MARGIN + 8}" y="${y}" fill="${colour}">${name}</text>`,
  ].join('\n');
}

function drawPercentileMark(percentile: number): string {
  const x = toX(percentile).toFixed(1);
  return `<line x1="${x}" y1="${MARGIN}" x2="${x}" y2="${HEIGHT - MARGIN}" stroke="#ddd"/><text x="${x}" y="${HEIGHT - MARGIN + 16}" text-anchor="middle">${percentile} %</text>`;
}

function createLatencyMarks(lowest: number, highest: number): number[] {
  const marks: number[] = [];
  for (let power = Math.floor(lowest); power <= highest; power += 1) {
    marks.push(10 ** power, 2 * 10 ** power, 5 * 10 ** power);
  }
  return marks.filter(
    mark => Math.log10(mark) >= lowest && Math.log10(mark) <= highest,
  );
}

function drawLatencyMark(latencyMs: number, y: number): string {
  const place = y.toFixed(1);
  return `<line x1="${MARGIN}" y1="${place}" x2="${WIDTH - MARGIN}" y2="${place}" stroke="#eee"/><text x="${MARGIN - 4}" y="${place}" text-anchor="end">${latencyMs} ms</text>`;
}
