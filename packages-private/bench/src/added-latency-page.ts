/** The page of the experiment `added-latency`. */

import type {RateFigures} from './added-latency-experiment.js';
import {createPage, toHead, toRow, type PageRun} from './page-parts.js';
import {plotCurves} from './plot.js';

/** What the page shows. */
export interface AddedLatencyResult extends PageRun {
  readonly targetMs: number;
  readonly rates: readonly RateFigures[];
}

/** Creates the page of a result. */
export function createAddedLatencyPage(result: AddedLatencyResult): string {
  const head = toHead([
    'calls a second',
    'added p50 ms',
    'added p99 ms',
    'pairs',
    'core of the entry',
    'calls per core',
    `p99 within ${result.targetMs} ms`,
  ]);
  const table = `<table>${head}${result.rates.map(createRow).join('')}</table>`;
  return createPage(result, [table, ...result.rates.map(createPlot)]);
}

function createRow(figures: RateFigures): string {
  const pairs = figures.addedP99MsOfPairs;
  return toRow([
    String(figures.ratePerSecond),
    String(figures.addedP50Ms),
    String(figures.addedP99Ms),
    `${Math.min(...pairs)} to ${Math.max(...pairs)}`,
    String(figures.entryCore),
    String(figures.callsPerCore),
    figures.isTargetMet ? 'met' : 'not met',
  ]);
}

function createPlot({ratePerSecond, direct, entry}: RateFigures): string {
  const plot = plotCurves([
    {name: 'direct', points: direct.curve},
    {name: 'through the entry', points: entry.curve},
  ]);
  return `<h2>${ratePerSecond} calls a second</h2>${plot}`;
}
