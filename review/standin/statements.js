/** Checks what the databases ran against what the clients sent: the rules PINNED, UNASKED and TWICE for transactions. */

/**
 * Creates the check.
 *
 * Clients register each statement before they send it, with the client transaction that it belongs to, if any. The databases report
 * each statement that they run, and each write that takes effect.
 */
export function createStatementCheck(record) {
	const sent = new Map();
	/** Commits that clients have sent, by client transaction. */
	const commitsSent = new Set();
	/** The client transaction whose statements ran in a database transaction. */
	const owners = new Map();
	const broken = [];
	/** Writes that have been committed. */
	const keptIds = new Set();

	function recordBroken(rule, text) {
		broken.push({rule, text});
		record(`BROKEN ${rule}: ${text}`);
	}

	function checkRun({id, text, access, transaction, database, connection}) {
		const known = sent.get(id);
		if (!known) {
			recordBroken('UNASKED', `${database} ran ${text} with the id ${id}, which no client sent`);
			return;
		}

		// The name of a prepared statement may be changed on the way, nothing else.
		if (known.access !== access || (!text.startsWith('EXECUTE ') && known.text !== text)) {
			recordBroken('UNASKED', `${database} ran ${JSON.stringify(text)} (${id}), but ${known.session} sent ${JSON.stringify(known.text)}`);
		}

		if (known.transaction !== undefined && transaction === undefined) {
			recordBroken('PINNED', `${database} ran ${text} (${id}) on connection ${connection} outside a transaction; it belongs to the client transaction ${known.transaction} of ${known.session}`);
		}

		if (known.transaction === undefined && transaction !== undefined) {
			recordBroken('PINNED', `${database} ran the single statement ${text} (${id}) of ${known.session} inside the database transaction ${transaction} on connection ${connection}`);
		}

		if (known.transaction !== undefined && transaction !== undefined) {
			const owner = owners.get(transaction) ?? known.transaction;
			owners.set(transaction, owner);
			if (owner !== known.transaction) {
				recordBroken('PINNED', `${database} ran ${text} (${id}) of the client transaction ${known.transaction} inside the database transaction ${transaction} of ${owner}, connection ${connection}`);
			}
		}
	}

	function checkKept({database, kept}) {
		kept.forEach(id => {
			keptIds.add(id);
		});
		kept.map(id => sent.get(id)).filter(known => known?.transaction !== undefined && !commitsSent.has(known.transaction)).forEach(known => {
			recordBroken('UNASKED', `${database} committed ${known.text} (${known.id}) of the client transaction ${known.transaction}, whose client has not sent COMMIT`);
		});
	}

	return {
		broken,
		/** Whether the write with this id, or its transaction, has been committed at a database. */
		isKept: id => keptIds.has(id),
		recordSent(statement) {
			sent.set(statement.id, statement);
			if (statement.text === 'COMMIT') {
				commitsSent.add(statement.transaction);
			}
		},
		handleRun(run) {
			if (run.kept) {
				record(`database ${run.database}: connection ${run.connection} keeps the writes ${run.kept.join(' ')}`);
				checkKept(run);
			}

			if (run.text !== undefined) {
				record(`database ${run.database}: connection ${run.connection} runs ${run.id} ${run.text} ${run.transaction === undefined ? 'as a single statement' : `in transaction ${run.transaction}`}`);
				checkRun(run);
			}
		},
	};
}
