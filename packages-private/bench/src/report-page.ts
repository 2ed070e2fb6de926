/** The page with plots: one file that opens with no network. */

import {createPage, toHead, toRow} from './page-parts.js';
import {plotCurves} from './plot.js';
import type {ArmFigures, CellFigures, PolicyResult} from './policy-result.js';

/** Creates the page of a result. */
export function createReportPage(result: PolicyResult): string {
  const sections = result.cells.map(createCellSection);
  return createPage(result, [createTargetTable(result), ...sections]);
}

function createTargetTable({targets}: PolicyResult): string {
  const rows = targets.map(({arm, cell, target, greatest, ratio, verdict}) =>
    toRow([
      `${arm}, ${toCellName(cell)}`,
      target,
      String(greatest),
      String(ratio),
      verdict,
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
