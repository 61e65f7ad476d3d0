#!/usr/bin/env node
/** Command that explores the specifications and checks that every mutant is killed. */
import process from 'node:process';
import {
	command, oneOf, option, optional, run, string,
} from 'cmd-ts';
import type {ScopeSize} from './model.js';
import {
	formatCounterexample, formatExploration, formatInvariants, formatMutantOutcome,
} from './report.js';
import {runMutant, runScopes} from './run-specification.js';
import {findMutant, SPECIFICATIONS} from './specifications.js';

const EXIT_FAILED = 1;
const EXIT_USAGE_ERROR = 2;

function writeLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

function runMutantByName(name: string): number {
	const mutant = findMutant(name);
	if (!mutant) {
		const names = SPECIFICATIONS.flatMap(specification => specification.mutants).map(known => known.name);
		writeLine(`unknown mutant "${name}"; known mutants: ${names.join(', ')}`);
		return EXIT_USAGE_ERROR;
	}

	const {counterexample} = runMutant(mutant);
	writeLine(`disabled rule: ${mutant.rule} (${mutant.code})`);
	writeLine(counterexample ? formatCounterexample(counterexample) : 'the mutant survived: no invariant was violated');
	return counterexample ? 0 : EXIT_FAILED;
}

function runSpecifications(size: ScopeSize): number {
	const explorations = SPECIFICATIONS.flatMap(specification => {
		writeLine(formatInvariants(specification));
		const scopeExplorations = runScopes(specification, size);
		scopeExplorations.forEach(exploration => {
			writeLine(`  ${formatExploration(exploration)}`);
		});
		return scopeExplorations;
	});
	const outcomes = SPECIFICATIONS.flatMap(specification => specification.mutants).map(mutant => runMutant(mutant));
	writeLine('mutants');
	outcomes.forEach(outcome => {
		writeLine(formatMutantOutcome(outcome));
	});
	const killed = outcomes.filter(outcome => outcome.counterexample).length;
	const violations = explorations.filter(exploration => exploration.counterexample).length;
	const states = explorations.reduce((sum, exploration) => sum + exploration.states, 0);
	const depth = Math.max(...explorations.map(exploration => exploration.depth));
	writeLine(`states ${states}, depth ${depth}, invariants broken ${violations}, mutants killed ${killed} of ${outcomes.length}`);
	return violations === 0 && killed === outcomes.length ? 0 : EXIT_FAILED;
}

const specCommand = command({
	name: 'heatherpond-spec',
	description: 'Explores the specifications of the protocols exhaustively and checks that every mutant is killed',
	args: {
		scope: option({type: oneOf<ScopeSize>(['default', 'large']), long: 'scope', defaultValue: () => 'default' as const}),
		mutant: option({type: optional(string), long: 'mutant', description: 'Explores one mutant and prints the trace that kills it'}),
	},
	handler({scope, mutant}) {
		process.exitCode = mutant === undefined ? runSpecifications(scope) : runMutantByName(mutant);
	},
});

await run(specCommand, process.argv.slice(2));
