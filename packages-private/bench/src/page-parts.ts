/** What the pages with plots share: each is one file that opens with no network. */

import type {Machine} from './machine.js';

const STYLE =
  'body{font:14px sans-serif;margin:2em}svg text{font:11px sans-serif}' +
  'table{border-collapse:collapse}td,th{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}' +
  'td:first-child,th:first-child{text-align:left}';

/** What a page says of its run. */
export interface PageRun {
  readonly experiment: string;
  readonly command: string;
  readonly startedAt: string;
  readonly machine: Machine;
  readonly settings: {readonly seed: number};
}

/** Puts sections of HTML into a page. */
export function createPage(run: PageRun, sections: readonly string[]): string {
  const {machine, settings} = run;
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>Experiment ${run.experiment}</title><style>${STYLE}</style></head><body>`,
    `<h1>Experiment ${run.experiment}</h1>`,
    `<p><code>${escapeText(run.command)}</code></p>`,
    `<p>${escapeText(run.startedAt)}, ${machine.processors} processors, Node.js ${machine.node}, seed ${settings.seed}.</p>`,
    ...sections,
    '</body></html>',
  ].join('\n');
}

/** A row of a table. */
export function toRow(cells: readonly string[]): string {
  return `<tr>${cells.map(cell => `<td>${escapeText(cell)}</td>`).join('')}</tr>`;
}

/** The head of a table. */
export function toHead(cells: readonly string[]): string {
  return `<tr>${cells.map(cell => `<th>${escapeText(cell)}</th>`).join('')}</tr>`;
}

function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
