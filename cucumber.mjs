/** How cucumber finds the features and their steps. */

export default {
  paths: ['features/**/*.feature'],
  import: ['features/dist/**/*.js'],
  format: ['progress', 'json:.runs/features.json'],
  parallel: 3,
  strict: true,
  forceExit: true,
};
