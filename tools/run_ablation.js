/**
 * Measures what mechanisms are worth: switches each of tools/ablations.json off
 * in a clone of its own, scores a deployment and prints a row of a table.
 *
 * node tools/run_ablation.js BENCH SITE DIR [--jobs N] [--only TEXT]
 */
import {execFileSync, spawnSync} from 'node:child_process';
import {mkdirSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const DAY_ROW = /^(\S+) +\S+\/\S+ +([\d.]+) +([\d.-]+) +([\d.]+) /;
const WINDOWS = /worst windows ([\d.]+)/;

/** Value of an option such as `--jobs 4`, or a default. */
function getOption(name, fallback) {
  const index = process.argv.indexOf(name);
  return index < 0 ? fallback : process.argv[index + 1];
}

/** Switches a mechanism off in a checkout; null leaves the code as it is. */
function applyAblation(folder, ablation) {
  if (ablation === null) {
    return;
  }
  const file = path.join(folder, ablation.file);
  const text = readFileSync(file, 'utf8');
  if (!text.includes(ablation.search)) {
    throw new Error(`${ablation.name}: its place in ${ablation.file} is gone`);
  }
  writeFileSync(file, text.replace(ablation.search, ablation.replace));
  execFileSync('git', ['commit', '-qam', `Trial: without ${ablation.name}`], {
    cwd: folder,
  });
}

/** Scores the deployment; gives worth by day and whether the gate was passed. */
function score(folder, bench, site, why) {
  const options = ['--jobs', getOption('--jobs', '2'), '--no-cpu'];
  const run = spawnSync(bench, ['score', site, ...options, '--why', why], {
    cwd: folder,
    encoding: 'utf8',
  });
  const days = new Map();
  for (const line of run.stdout.split('\n')) {
    const row = DAY_ROW.exec(line);
    if (row !== null) {
      days.set(row[1], {
        worth: Number(row[3]),
        windows: WINDOWS.exec(line)?.[1] ?? '',
      });
    }
  }
  return {days, hasPassed: run.stdout.includes('GATE passed')};
}

function formatRow(name, {days, hasPassed}) {
  const standard = [...days].filter(([day]) => !day.startsWith('fresh'));
  const trouble = standard.filter(([day]) => !day.startsWith('quiet'));
  const sum = trouble.reduce((total, [, {worth}]) => total + worth, 0);
  const mean = (sum / Math.max(1, trouble.length)).toFixed(4);
  const cells = standard.map(
    ([day, {worth, windows}]) =>
      `${day} ${worth}${windows === '' ? '' : ` (${windows})`}`,
  );
  const gate = hasPassed ? 'passed' : 'FAILED';
  return `| ${name} | ${mean} | ${gate} | ${cells.join(', ')} |`;
}

function main() {
  const [, , bench, site, folder] = process.argv;
  const only = getOption('--only', '');
  const ablations = JSON.parse(readFileSync('tools/ablations.json', 'utf8'));
  const chosen = ablations.filter(({name}) => name.includes(only));
  mkdirSync(folder, {recursive: true});
  process.stdout.write('| without | mean with trouble | gate | days |\n');
  process.stdout.write('|---|---|---|---|\n');
  for (const [index, ablation] of [null, ...chosen].entries()) {
    const clone = path.join(folder, String(index));
    rmSync(clone, {recursive: true, force: true});
    execFileSync('git', ['clone', '-q', process.cwd(), clone]);
    applyAblation(clone, ablation);
    const name = ablation === null ? '(nothing)' : ablation.name;
    const result = score(clone, bench, site, `Ablation: without ${name}`);
    process.stdout.write(`${formatRow(name, result)}\n`);
  }
}

main();
