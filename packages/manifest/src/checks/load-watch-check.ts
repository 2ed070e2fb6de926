/** Checks of the budget for watching load. */

import {ManifestCheck} from './manifest-check.js';

/** The parts of the budget fit each other. */
export class LoadWatchCheck extends ManifestCheck {
  override run(): void {
    const {requestsPerSecond, bytesPerSecond, crossRegionBytesPerSecond} =
      this.manifest.loadWatch ?? {};
    if (bytesPerSecond === undefined) {
      return;
    }
    if ((crossRegionBytesPerSecond ?? 0) > bytesPerSecond) {
      const message = `${crossRegionBytesPerSecond} bytes a second across regions exceed the whole budget of ${bytesPerSecond}.`;
      const path = ['loadWatch', 'crossRegionBytesPerSecond'];
      this.add('budget-exceeds-whole', path, message);
    }
    if ((requestsPerSecond ?? 0) > 0 && bytesPerSecond === 0) {
      const message = `0 bytes a second hold none of ${requestsPerSecond} requests a second; raise it, or set both to 0.`;
      this.add(
        'budget-without-bytes',
        ['loadWatch', 'bytesPerSecond'],
        message,
      );
    }
    if (requestsPerSecond === 0 && bytesPerSecond > 0) {
      const message = `0 requests a second spend none of ${bytesPerSecond} bytes a second; raise it, or set both to 0.`;
      const path = ['loadWatch', 'requestsPerSecond'];
      this.add('budget-without-requests', path, message);
    }
  }
}
