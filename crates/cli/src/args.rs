//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};
use settings::Format;

use crate::exit::Exit;
use crate::query::QueryRequest;

/// A parsed command line.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) json: bool,
    pub(crate) command: Command,
}

#[derive(Debug)]
pub(crate) enum Command {
    Check {
        as_kind: Option<Format>,
        files: Vec<PathBuf>,
    },
    Defaults {
        as_kind: Option<Format>,
    },
    Status {
        operator: SocketAddr,
    },
    Dump {
        operator: SocketAddr,
    },
    Teams {
        operator: SocketAddr,
    },
    Team {
        operator: SocketAddr,
        name: String,
    },
    Explain {
        operator: SocketAddr,
        tree: Option<PathBuf>,
        subject: String,
    },
    History {
        request: String,
        files: Vec<PathBuf>,
    },
    Query(QueryRequest),
}

/// Returns the parser of the whole command line.
pub(crate) fn options() -> OptionParser<Options> {
    let check = check()
        .to_options()
        .descr("Checks settings files, or prints the defaults of the formats")
        .footer(
            "Examples:\n   medlarpin check examples/warmia\n   medlarpin check teams/clerks.jsonc\n   \
             medlarpin check --as daemon /etc/medlarpin.jsonc\n   \
             medlarpin check --defaults --as team",
        )
        .command("check");
    let status = status()
        .to_options()
        .descr("Shows one daemon on one screen; exit code 1 if it is not ready")
        .footer("Examples:\n   medlarpin status --operator 127.0.0.1:8082")
        .command("status");
    let dump = dump()
        .to_options()
        .descr("Prints the whole state of a daemon as JSON")
        .footer("Examples:\n   medlarpin dump --operator 127.0.0.1:8082")
        .command("dump");
    let teams = teams()
        .to_options()
        .descr("Shows the limits, shares and refusals of all teams")
        .footer("Examples:\n   medlarpin teams --operator 127.0.0.1:8082")
        .command("teams");
    let team = team()
        .to_options()
        .descr("Shows one team in full")
        .footer("Examples:\n   medlarpin team order-desk --json")
        .command("team");
    let explain = explain()
        .to_options()
        .descr("Explains who serves a shard, or the outcome of a recent request")
        .footer(
            "Examples:\n   medlarpin explain order-desk/7 --tree examples/souss-coast\n   \
             medlarpin explain 0f3c9a17",
        )
        .command("explain");
    let query = query()
        .to_options()
        .descr("Posts a query as a caller would; the exit code tells the outcome")
        .footer(
            "Examples:\n   medlarpin query --at 192.0.2.101:8080 --team clerks --service hodowcy \
             'owner = 17'\n   medlarpin query --team export-agents --service export-agents --once \
             'invoice 4711'",
        )
        .command("query");
    let history = history()
        .to_options()
        .descr("Shows what the logs of daemons that serve published routes say about a request")
        .footer("Examples:\n   medlarpin history 9c41d07be2a35f68 vm-01.log vm-02.log")
        .command("history");
    construct!([check, status, dump, teams, team, explain, history, query])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operators' tool of medlarpin; it writes no shared state")
        .footer(Exit::HELP)
}

fn check() -> impl Parser<Options> {
    let defaults = {
        let flag = long("defaults")
            .help("Print the defaults of a format, or of all formats")
            .req_flag(());
        let (as_kind, json) = (as_kind(), json());
        construct!(flag, as_kind, json).map(|((), as_kind, json)| Options {
            json,
            command: Command::Defaults { as_kind },
        })
    };
    let files = {
        let (as_kind, json) = (as_kind(), json());
        let files = positional::<PathBuf>("FILE")
            .help("Settings files, or directories that hold a whole tree")
            .some("name at least one FILE");
        construct!(as_kind, json, files).map(|(as_kind, json, files)| Options {
            json,
            command: Command::Check { as_kind, files },
        })
    };
    construct!([defaults, files])
}

fn status() -> impl Parser<Options> {
    let (operator, json) = (operator(), json());
    construct!(operator, json).map(|(operator, json)| Options {
        json,
        command: Command::Status { operator },
    })
}

fn dump() -> impl Parser<Options> {
    let (operator, json) = (operator(), json());
    construct!(operator, json).map(|(operator, json)| Options {
        json,
        command: Command::Dump { operator },
    })
}

fn teams() -> impl Parser<Options> {
    let (operator, json) = (operator(), json());
    construct!(operator, json).map(|(operator, json)| Options {
        json,
        command: Command::Teams { operator },
    })
}

fn team() -> impl Parser<Options> {
    let (operator, json) = (operator(), json());
    let name = positional::<String>("NAME").help("Name of the team");
    construct!(operator, json, name).map(|(operator, json, name)| Options {
        json,
        command: Command::Team { operator, name },
    })
}

fn explain() -> impl Parser<Options> {
    let (operator, json) = (operator(), json());
    let tree = long("tree")
        .help("Directory with a settings tree to use instead of the daemon's shard map")
        .argument::<PathBuf>("DIR")
        .optional();
    let subject = positional::<String>("SHARD|REQUEST")
        .help("SERVICE/SHARD, or at least 8 hex digits of a request id");
    construct!(operator, json, tree, subject).map(|(operator, json, tree, subject)| Options {
        json,
        command: Command::Explain {
            operator,
            tree,
            subject,
        },
    })
}

fn history() -> impl Parser<Options> {
    let json = json();
    let request = positional::<String>("REQUEST").help("Identifier of the caller's request");
    let files = positional::<PathBuf>("LOG")
        .help("Files with the daemons' standard output")
        .some("name at least one LOG");
    construct!(json, request, files).map(|(json, request, files)| Options {
        json,
        command: Command::History { request, files },
    })
}

fn query() -> impl Parser<Options> {
    let json = json();
    let at = long("at")
        .env("MEDLARPIN_QUERY")
        .help("Address at which a daemon serves callers")
        .argument::<SocketAddr>("ADDR");
    let team = long("team").help("Team to ask for").argument("TEAM");
    let service = long("service")
        .help("Service to search")
        .argument("SERVICE");
    let shards = long("shard")
        .help("Search this shard only; may be repeated")
        .argument::<u32>("N")
        .many();
    let deadline_ms = long("deadline-ms")
        .help("Deadline in milliseconds; the team's default if absent")
        .argument::<u64>("N")
        .optional();
    let once = long("once")
        .help("The query is not idempotent: run it at most once, with a ticket")
        .switch();
    let ticket = long("ticket")
        .help("Ticket of an earlier submission of the same query; implies --once")
        .argument::<String>("TICKET")
        .optional();
    let query = positional::<String>("QUERY").help("Text of the query");
    let request = construct!(QueryRequest {
        at,
        team,
        service,
        shards,
        deadline_ms,
        once,
        ticket,
        query,
    });
    construct!(json, request).map(|(json, request)| Options {
        json,
        command: Command::Query(request),
    })
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

fn operator() -> impl Parser<SocketAddr> {
    long("operator")
        .env("MEDLARPIN_OPERATOR")
        .help("Address of a daemon's operators' endpoint")
        .argument::<SocketAddr>("ADDR")
}

fn as_kind() -> impl Parser<Option<Format>> {
    long("as")
        .help("Kind of the files, if their path does not tell: daemon, router, team, service or index")
        .argument::<String>("KIND")
        .parse(|text| {
            let found = Format::ALL
                .into_iter()
                .find(|format| format.as_str() == text);
            found.ok_or("expected daemon, router, team, service or index")
        })
        .optional()
}
