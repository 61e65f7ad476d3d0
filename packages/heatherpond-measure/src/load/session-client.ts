/** PostgreSQL client of a load session, which carries its session token from host to host. */
import pg from 'pg';

/** Port, credentials and route of a connection. `key` is the access key of the team. */
export type SessionLogin = {
	readonly port: number;
	readonly team: string;
	readonly key: string;
	readonly route: string;
};

/** A connected client. `readToken` returns the session token that the host reported last. */
export type SessionClient = {
	readonly query: (text: string, values: readonly string[]) => Promise<pg.QueryResult<{value?: string}>>;
	readonly readToken: () => string;
	readonly isOpen: () => boolean;
	readonly close: () => Promise<void>;
};

type ParameterStatus = {readonly parameterName: string; readonly parameterValue: string};

type ClientConnection = {readonly on: (event: 'parameterStatus', listener: (message: ParameterStatus) => void) => void};

const LOOPBACK = '127.0.0.1';
const CONNECT_TIMEOUT_MS = 3000;

/** Connects to a host. Reads of the session include all writes covered by `token`; an empty token covers none. */
export async function openSessionClient(login: SessionLogin, token: string): Promise<SessionClient> {
	const client = new pg.Client({
		host: LOOPBACK, port: login.port, user: login.team, password: login.key, database: login.route, connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
	});
	let lastToken = token;
	let isOpen = true;
	client.on('error', () => {
		isOpen = false;
	});
	client.on('end', () => {
		isOpen = false;
	});
	// The driver reports parameter statuses only on its connection object, which its types leave out.
	const {connection} = client as unknown as {readonly connection: ClientConnection};
	connection.on('parameterStatus', message => {
		if (message.parameterName === 'heatherpond.session') {
			lastToken = message.parameterValue;
		}
	});
	await client.connect();
	if (token !== '') {
		await client.query(`SET heatherpond.session = '${token}'`);
		lastToken = token;
	}

	return {
		query: async (text, values) => client.query<{value?: string}>(text, [...values]),
		readToken: () => lastToken,
		isOpen: () => isOpen,
		close: async () => client.end(),
	};
}
