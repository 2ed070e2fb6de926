/** Faults of processes: killed, frozen, stopped as planned. */

import type {Unit} from '../site/unit.js';
import {Fault, type FaultContext} from './fault.js';

function findUnit({site}: FaultContext, target: string) {
  const unit = site.entries.get(target)?.unit ?? site.workers.get(target)?.unit;
  if (unit === undefined) {
    throw new Error(`There is no process ${target}`);
  }
  return unit as Unit<never>;
}

/** A fault of an entry's or a worker's process. */
abstract class ProcessFault extends Fault {
  override readonly targetKind: 'entry' | 'worker';

  constructor(targetKind: 'entry' | 'worker') {
    super();
    this.targetKind = targetKind;
  }
}

/** The process is killed, and another one started later. */
export class KillFault extends ProcessFault {
  override readonly historyName = 'kill';

  override async begin(context: FaultContext, target: string): Promise<void> {
    await findUnit(context, target).kill();
  }

  override async end(context: FaultContext, target: string): Promise<void> {
    await findUnit(context, target).start();
  }
}

/** The process stands still for a while. */
export class FreezeFault extends ProcessFault {
  override readonly historyName = 'freeze';

  override async begin(context: FaultContext, target: string): Promise<void> {
    findUnit(context, target).process.signal('SIGSTOP');
  }

  override async end(context: FaultContext, target: string): Promise<void> {
    findUnit(context, target).process.signal('SIGCONT');
  }
}

/** The process is asked to stop gracefully, and another one started once it has ended. */
export class StopFault extends ProcessFault {
  override readonly historyName = 'stop';

  override async begin(context: FaultContext, target: string): Promise<void> {
    const {process} = findUnit(context, target);
    const {history} = context.site;
    const stop = {kind: 'stop', target} as const;
    history.record({...stop, phase: 'asked', status: null});
    process.signal('SIGTERM');
    void process.ended.then(status => {
      history.record({...stop, phase: 'ended', status});
    });
  }

  override async end(context: FaultContext, target: string): Promise<void> {
    const unit = findUnit(context, target);
    await unit.process.ended;
    await unit.start();
  }
}
