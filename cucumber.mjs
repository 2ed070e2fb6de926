/** How cucumber finds the features and their steps. */

const ALL_FEATURES = ['features/**/*.feature'];

/** Cucumber adds the paths of its command line to those that are set here. */
const namesFeatures = process.argv
  .slice(2)
  .some(word => /\.feature(:\d+)*$/.test(word) || word.startsWith('features/'));

export default {
  paths: namesFeatures ? [] : ALL_FEATURES,
  import: ['features/dist/**/*.js'],
  format: ['progress', 'json:.runs/features.json'],
  parallel: 3,
  strict: true,
  forceExit: true,
};
