/** The part of hdr-histogram-js that an entry uses: without its encodings, which take longer to load than all of an entry. */

const {
  default: Int32Histogram,
} = require('hdr-histogram-js/dist/Int32Histogram.js');

module.exports = {
  build: ({
    lowestDiscernibleValue,
    highestTrackableValue,
    numberOfSignificantValueDigits,
  }) =>
    new Int32Histogram(
      lowestDiscernibleValue,
      highestTrackableValue,
      numberOfSignificantValueDigits,
    ),
};
