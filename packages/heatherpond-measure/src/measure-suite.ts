/** Runs the scenario suite: the main measures without a fault and under each fault, each with a consistency check. */
import {writeFile, mkdir} from 'node:fs/promises';
import {PLANS} from 'heatherpond-local';
import type {FigureGroup, MeasurementOptions, MeasurementResult} from './measurement.js';
import {renderReport} from './report/render-report.js';
import {runScenario} from './suite/run-scenario.js';
import {createScenarioFigures} from './suite/scenario-figures.js';
import {QUICK_SCENARIOS, SCENARIOS} from './suite/scenarios.js';

const QUICK_DURATION_MS = 7000;
const FULL_DURATION_MS = 20_000;
const LOAD_SHARE = 0.25;
const REPORT_FOLDER = 'reports';

type DeploymentName = MeasurementOptions['deployment'];

/** Figures and violations of one scenario on one deployment. */
type ScenarioOutcome = {readonly group: FigureGroup; readonly brokenPromises: readonly string[]};

async function measureDeployment(name: DeploymentName, options: MeasurementOptions): Promise<readonly ScenarioOutcome[]> {
	const plan = PLANS[name];
	const outcomes: ScenarioOutcome[] = [];
	for (const scenario of options.isQuick ? QUICK_SCENARIOS : SCENARIOS) {
		const title = `${name}: ${scenario.name}`;
		options.writeLine(title);
		const scenarioResult = await runScenario({
			plan, scenario, seed: options.seed, durationMs: options.isQuick ? QUICK_DURATION_MS : FULL_DURATION_MS, loadShare: LOAD_SHARE, signal: options.signal,
		});
		const routes = plan.routes.filter(route => !route.open).map(route => route.name);
		outcomes.push({
			group: {title, figures: [...createScenarioFigures(scenarioResult, plan.contracts, routes)]},
			brokenPromises: scenarioResult.brokenPromises.map(line => `${title}: ${line}`),
		});
	}

	return outcomes;
}

/** Runs the suite on both deployments and writes the HTML report. */
export async function runSuiteMeasure(options: MeasurementOptions): Promise<MeasurementResult> {
	const outcomes: ScenarioOutcome[] = [];
	for (const name of ['kringloop', 'instituto'] as const) {
		outcomes.push(...await measureDeployment(name, options));
	}

	const result: MeasurementResult = {
		name: 'suite', groups: outcomes.map(outcome => outcome.group), brokenPromises: outcomes.flatMap(outcome => [...outcome.brokenPromises]),
	};
	await mkdir(REPORT_FOLDER, {recursive: true});
	await writeFile(`${REPORT_FOLDER}/suite.html`, renderReport(result));
	return result;
}
