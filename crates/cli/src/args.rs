//! Parses the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};
use settings::Format;

use crate::check_config::{CheckConfigRequest, ConfigSource, PublishedLeafs};
use crate::exit::Exit;
use crate::query::QueryRequest;

/// Ratio of retries and hedges that the platform's settings give today.
const RETRY_RATIO_DEFAULT: f64 = 0.2;

/// A parsed command line.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) json: bool,
    pub(crate) command: Command,
}

#[derive(Debug)]
pub(crate) enum Command {
    Check {
        /// Format given with `--as`; otherwise it follows from each file's path.
        format: Option<Format>,
        files: Vec<PathBuf>,
    },
    CheckConfig(CheckConfigRequest),
    Defaults {
        /// Prints the defaults of this format only.
        format: Option<Format>,
    },
    Status {
        operator_address: SocketAddr,
    },
    Dump {
        operator_address: SocketAddr,
    },
    Teams {
        operator_address: SocketAddr,
    },
    Team {
        operator_address: SocketAddr,
        name: String,
    },
    Explain {
        operator_address: SocketAddr,
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
    let check_config = check_config()
        .to_options()
        .descr("Checks a published configuration before it is sent, and shows what it changes")
        .footer(
            "Examples:\n   medlarpin check-config draft.json --in-force-from 192.0.2.7:8100\n   \
             medlarpin check-config - --in-force now.json --warnings-fail < draft.json\n   \
             medlarpin check-config draft.json --leafs-from 192.0.2.7:8100 --evacuated zone-2",
        )
        .command("check-config");
    let status = status()
        .to_options()
        .descr("Shows a summary of a daemon; exit code 1 if it is not ready")
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
        .descr("Shows all details of one team")
        .footer("Examples:\n   medlarpin team order-desk --json")
        .command("team");
    let explain = explain()
        .to_options()
        .descr("Shows which leafs serve a shard, or the outcome of a recent request")
        .footer(
            "Examples:\n   medlarpin explain order-desk/7 --tree examples/souss-coast\n   \
             medlarpin explain 0f3c9a17",
        )
        .command("explain");
    let query = query()
        .to_options()
        .descr("Sends a query as a caller does; the exit code reports the outcome")
        .footer(
            "Examples:\n   medlarpin query --at 192.0.2.101:8080 --team clerks --service hodowcy \
             'owner = 17'\n   medlarpin query --team export-agents --service export-agents --once \
             'invoice 4711'",
        )
        .command("query");
    let history = history()
        .to_options()
        .descr("Shows the log lines about a request from the logs of daemons that serve published routes")
        .footer("Examples:\n   medlarpin history 9c41d07be2a35f68 vm-01.log vm-02.log")
        .command("history");
    construct!([
        check,
        check_config,
        status,
        dump,
        teams,
        team,
        explain,
        history,
        query
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Command-line tool for operators of medlarpin; it does not write shared state")
    .footer(Exit::HELP)
}

fn check() -> impl Parser<Options> {
    let defaults = {
        let flag = long("defaults")
            .help("Print the defaults of a format, or of all formats")
            .req_flag(());
        let (format, json) = (format(), json());
        construct!(flag, format, json).map(|((), format, json)| Options {
            json,
            command: Command::Defaults { format },
        })
    };
    let files = {
        let (format, json) = (format(), json());
        let files = positional::<PathBuf>("FILE")
            .help("Settings files, or directories with a whole settings tree")
            .some("give at least one FILE");
        construct!(format, json, files).map(|(format, json, files)| Options {
            json,
            command: Command::Check { format, files },
        })
    };
    construct!([defaults, files])
}

fn check_config() -> impl Parser<Options> {
    let json = long("json").help("Print JSON lines").switch();
    let in_force = {
        let file = long("in-force")
            .help("File with the version in force, to compare with")
            .argument::<PathBuf>("FILE")
            .map(ConfigSource::File);
        let store = long("in-force-from")
            .help("Address of the store, to compare with the version in force; it is only read")
            .argument::<SocketAddr>("ADDR")
            .map(ConfigSource::Store);
        construct!([file, store]).optional()
    };
    let leafs = {
        let address = long("leafs-from")
            .help("Address of the store, to look for services without leafs; it is only read")
            .argument::<SocketAddr>("ADDR");
        let evacuated = long("evacuated")
            .help("Failure domain that is to get no requests, or its key; may be repeated")
            .argument::<String>("DOMAIN")
            .parse(|text| platform::parse_evacuated_domain(&text))
            .many();
        construct!(PublishedLeafs { address, evacuated }).optional()
    };
    let retry_ratio = long("retry-ratio")
        .help("Retries and hedges that the platform allows for each request")
        .argument::<f64>("N")
        .guard(|ratio| (0.0..=10.0).contains(ratio), "expected 0 to 10")
        .fallback(RETRY_RATIO_DEFAULT)
        .display_fallback();
    let warnings_fail = long("warnings-fail")
        .help("Exit with code 1 if there are warnings")
        .switch();
    let file = positional::<PathBuf>("FILE")
        .help("File with the configuration to check; - for standard input");
    let request = construct!(CheckConfigRequest {
        in_force,
        leafs,
        retry_ratio,
        warnings_fail,
        file,
    });
    construct!(json, request).map(|(json, request)| Options {
        json,
        command: Command::CheckConfig(request),
    })
}

fn status() -> impl Parser<Options> {
    let (operator_address, json) = (operator_address(), json());
    construct!(operator_address, json).map(|(operator_address, json)| Options {
        json,
        command: Command::Status { operator_address },
    })
}

fn dump() -> impl Parser<Options> {
    let (operator_address, json) = (operator_address(), json());
    construct!(operator_address, json).map(|(operator_address, json)| Options {
        json,
        command: Command::Dump { operator_address },
    })
}

fn teams() -> impl Parser<Options> {
    let (operator_address, json) = (operator_address(), json());
    construct!(operator_address, json).map(|(operator_address, json)| Options {
        json,
        command: Command::Teams { operator_address },
    })
}

fn team() -> impl Parser<Options> {
    let (operator_address, json) = (operator_address(), json());
    let name = positional::<String>("NAME").help("Name of the team");
    construct!(operator_address, json, name).map(|(operator_address, json, name)| Options {
        json,
        command: Command::Team {
            operator_address,
            name,
        },
    })
}

fn explain() -> impl Parser<Options> {
    let (operator_address, json) = (operator_address(), json());
    let tree = long("tree")
        .help("Directory with a settings tree to use instead of the daemon's shard map")
        .argument::<PathBuf>("DIR")
        .optional();
    let subject = positional::<String>("SHARD|REQUEST")
        .help("SERVICE/SHARD, or at least 8 hex digits of a request id");
    construct!(operator_address, json, tree, subject).map(
        |(operator_address, json, tree, subject)| Options {
            json,
            command: Command::Explain {
                operator_address,
                tree,
                subject,
            },
        },
    )
}

fn history() -> impl Parser<Options> {
    let json = json();
    let request = positional::<String>("REQUEST").help("Id of the request");
    let files = positional::<PathBuf>("LOG")
        .help("Files with the standard output of daemons")
        .some("give at least one LOG");
    construct!(json, request, files).map(|(json, request, files)| Options {
        json,
        command: Command::History { request, files },
    })
}

fn query() -> impl Parser<Options> {
    let json = json();
    let query_address = long("at")
        .env("MEDLARPIN_QUERY")
        .help("Address of a daemon's query endpoint")
        .argument::<SocketAddr>("ADDR");
    let team = long("team")
        .help("Team that sends the query")
        .argument("TEAM");
    let service = long("service")
        .help("Service to search")
        .argument("SERVICE");
    let shards = long("shard")
        .help("Search this shard only; may be repeated")
        .argument::<u32>("N")
        .many();
    let deadline_ms = long("deadline-ms")
        .help("Deadline in milliseconds; default: the team's default deadline")
        .argument::<u64>("N")
        .optional();
    let at_most_once = long("once")
        .help("The query is not idempotent: run it at most once, with a ticket")
        .switch();
    let ticket = long("ticket")
        .help("Ticket of an earlier submission of the same query; implies --once")
        .argument::<String>("TICKET")
        .optional();
    let query = positional::<String>("QUERY").help("Text of the query");
    let request = construct!(QueryRequest {
        query_address,
        team,
        service,
        shards,
        deadline_ms,
        at_most_once,
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

fn operator_address() -> impl Parser<SocketAddr> {
    long("operator")
        .env("MEDLARPIN_OPERATOR")
        .help("Address of a daemon's operator endpoint")
        .argument::<SocketAddr>("ADDR")
}

fn format() -> impl Parser<Option<Format>> {
    long("as")
        .help("Format of the files, if their paths do not determine it: daemon, router, team, service or index")
        .argument::<String>("KIND")
        .parse(|text| {
            let found = Format::ALL
                .into_iter()
                .find(|format| format.as_str() == text);
            found.ok_or("expected daemon, router, team, service or index")
        })
        .optional()
}
