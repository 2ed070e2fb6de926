/** The page with plots: one file that opens with no network. */

import {plotCurves} from './plot.js';
import type {ArmFigures, CellFigures, PolicyResult} from './policy-result.js';

const STYLE =
  'body{font:14px sans-serif;margin:2em}svg text{font:11px sans-serif}' +
  'table{border-collapse:collapse}td,th{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}' +
  'td:first-child,th:first-child{text-align:left}';

/** Creates the page of a result. */
export function createReportPage(result: PolicyResult): string {
  const {machine, settings} = result;
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>Experiment ${result.experiment}</title><style>${STYLE}</style></head><body>`,
    `<h1>Experiment ${result.experiment}</h1>`,
    `<p><code>${escapeText(result.command)}</code></p>`,
    `<p>${escapeText(result.startedAt)}, ${machine.processors} processors, Node.js ${machine.node}, seed ${settings.seed}.</p>`,
    createTargetTable(result),
    ...result.cells.map(createCellSection),
    '</body></html>',
  ].join('\n');
}

function createTargetTable({targets}: PolicyResult): string {
  const rows = targets.map(({arm, cell, target, greatest, ratio, isMet}) =>
    toRow([
      `${arm}, ${toCellName(cell)}`,
      target,
      String(greatest),
      String(ratio),
      isMet ? 'met' : 'not met',
    ]),
  );
  const head = toHead(['cell', 'target', 'at most', 'measured', '']);
  return `<h2>Targets</h2><table>${head}${rows.join('')}</table>`;
}

function createCellSection({cell, arms}: CellFigures): string {
  const plot = plotCurves(
    arms.map(({arm, curve}) => ({name: arm, points: curve})),
  );
  const head = toHead([
    'arm',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'to two choices',
    'pairs',
    'to oracle',
    'refused',
    'failed',
    'sent late p99 ms',
  ]);
  const rows = arms.map(createArmRow).join('');
  return `<h2>${toCellName(cell)}</h2>${plot}<table>${head}${rows}</table>`;
}

function createArmRow(figures: ArmFigures): string {
  const {latency, lateness, p999ToBase, p999ToOracle} = figures;
  return toRow([
    figures.arm,
    String(latency.p50Ms),
    String(latency.p99Ms),
    String(latency.p999Ms),
    String(p999ToBase.whole),
    `${p999ToBase.lowestOfPairs} to ${p999ToBase.highestOfPairs}`,
    String(p999ToOracle.whole),
    String(figures.refused),
    String(figures.failed),
    String(lateness.p99Ms),
  ]);
}

function toCellName(cell: CellFigures['cell']): string {
  const {deployment, loadPercent, noisiness, reportLagMs} = cell;
  return `${deployment}, ${loadPercent} %, ${noisiness}, reports ${reportLagMs} ms old`;
}

function toRow(cells: readonly string[]): string {
  return `<tr>${cells.map(cell => `<td>${escapeText(cell)}</td>`).join('')}</tr>`;
}

function toHead(cells: readonly string[]): string {
  return `<tr>${cells.map(cell => `<th>${escapeText(cell)}</th>`).join('')}</tr>`;
}

function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
