/** Tables of plain text. */

const COLUMN_GAP = '  ';

// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f-\u009f]/g;

/** What stands in a cell; null is shown as a dash. */
export type Cell = string | number | null;

/** One column of a table of `Row`s. */
export interface Column<Row> {
  readonly title: string;
  readonly read: (row: Row) => Cell;
}

/** Formats rows under the titles of their columns; numbers are aligned to the right. */
export function formatTable<Row>(
  columns: ReadonlyArray<Column<Row>>,
  rows: readonly Row[],
): string {
  const texts = columns.map(column => formatColumn(column, rows));
  const lines = [-1, ...rows.keys()].map(index =>
    texts.map(cells => cells[index + 1]).join(COLUMN_GAP),
  );
  return lines.map(line => `${line.trimEnd()}\n`).join('');
}

function formatColumn<Row>(
  {title, read}: Column<Row>,
  rows: readonly Row[],
): readonly string[] {
  const cells = rows.map(read);
  const isNumeric =
    cells.every(cell => typeof cell !== 'string') &&
    cells.some(cell => cell !== null);
  const texts = [title, ...cells.map(formatCell)];
  const width = Math.max(...texts.map(text => text.length));
  return texts.map(text =>
    isNumeric ? text.padStart(width) : text.padEnd(width),
  );
}

// Control characters in what an entry sends must not reach the terminal.
function formatCell(cell: Cell): string {
  return cell === null ? '-' : String(cell).replace(CONTROL_CHARACTERS, '?');
}
