//! Another writer's entry without `version` names a server that is no leaf.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform_stand_in::FakeStore;
use review_stand_ins_3::{
    EXIT_BROKEN, EXIT_NOT_RUN, Fleet, Leaf, LeafReply, Record, ask, has_trouble, read_body,
    read_head,
};
use serde_json::json;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const DAEMONS: usize = 2;
const LEAFS: usize = 3;
const REQUESTS: usize = 200;
/// Time after the other writer's entry in which the daemons learn of it.
const APPLY_WAIT: Duration = Duration::from_secs(4);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: case-12 PROGRAM FOLDER RECORD");
        return ExitCode::from(EXIT_NOT_RUN);
    };
    match run(program, folder, record).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cannot run: {error}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

async fn run(program: &Path, folder: &Path, record: &Path) -> std::io::Result<ExitCode> {
    let record = Record::create(record)?;
    let store = FakeStore::start()?;
    let mut leafs = Vec::new();
    for number in 0..LEAFS {
        let leaf = Leaf::start(&format!("i-{number}"), b"0123456789abcdef", &record).await?;
        leaf.set_reply(|_| LeafReply::Run(Duration::from_millis(10)));
        store.put(
            &format!("servers/{}", leaf.id()),
            &leaf.entry("desk", "z1", 1),
        );
        leafs.push(leaf);
    }
    store.put(
        "op/config",
        &json!({
            "version": 3,
            "routes": [{
                "name": "desk", "host": "search.example", "prefix": "/desk/",
                "type": "non_idempotent", "timeoutMs": 4000, "targetLatencyMs": 600, "attempts": 2,
                "service": "desk",
            }],
            "services": [{"name": "desk", "maxConns": 244, "healthPath": "/health"}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 5000,
                "idleTimeoutMs": 10_000},
        }),
    );
    let fleet = Fleet::start(DAEMONS, program, folder, store.address(), |_, _, _| {})?;
    if !fleet.wait_until_ready().await {
        eprintln!("a daemon is not ready");
        return Ok(ExitCode::from(EXIT_NOT_RUN));
    }
    record.line(format!("{DAEMONS} daemons are ready"));

    let archive = Archive::start(&record).await?;
    if has_trouble() {
        // Like the entry of a leaf, but for `version`, which is missing.
        let entry = json!({
            "service": "desk", "address": archive.address, "zone": "z1", "slots": 4,
            "state": "ready", "warmupLeftMs": 0, "seq": 1, "born": 1_790_000_000_000_u64,
        });
        record.line(format!("another writer: servers/archive-1 = {entry}"));
        store.put("servers/archive-1", &entry);
    }
    sleep(APPLY_WAIT).await;

    let mut failed = 0;
    for number in 0..REQUESTS {
        let daemon = &fleet.daemons[number % DAEMONS];
        let (path, id) = (format!("/desk/{number}"), format!("order-{number}"));
        let answer = ask(
            daemon.addresses.query,
            "POST",
            &path,
            &id,
            4_000,
            b"one crate",
        )
        .await;
        record.line(format!(
            "client: {id} got {} {}",
            answer.status, answer.error
        ));
        failed += usize::from(answer.status != 200);
    }
    let ran_elsewhere = archive
        .ran
        .lock()
        .map(|ran| ran.clone())
        .unwrap_or_default();
    let ran = leafs.iter().map(|leaf| leaf.ran().len()).sum::<usize>();
    let result = format!(
        "of {REQUESTS} requests, {ran} ran on leafs of the service and {} on a server that no configuration names; \
         {failed} were not answered with success",
        ran_elsewhere.len()
    );
    record.line(&result);
    println!("{result}");
    drop(fleet);
    Ok(ExitCode::from(if ran_elsewhere.is_empty() {
        0
    } else {
        EXIT_BROKEN
    }))
}

/// An HTTP server of another system, which knows nothing of this one's headers.
struct Archive {
    address: String,
    ran: Arc<Mutex<Vec<String>>>,
}

impl Archive {
    async fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let ran = Arc::new(Mutex::new(Vec::new()));
        let (served, record) = (Arc::clone(&ran), record.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (ran, record) = (Arc::clone(&served), record.clone());
                tokio::spawn(async move {
                    // The daemon ends the connection.
                    let _ = serve(stream, &ran, &record).await;
                });
            }
        });
        Ok(Self { address, ran })
    }
}

async fn serve(
    stream: TcpStream,
    ran: &Mutex<Vec<String>>,
    record: &Record,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(head) = read_head(&mut stream).await? {
        let body = read_body(&mut stream, &head).await?;
        let body = String::from_utf8_lossy(&body);
        record.line(format!("archive: runs {:?} with {body:?}", head.first));
        if let Ok(mut ran) = ran.lock()
            && head.first.starts_with("POST")
        {
            ran.push(head.first.clone());
        }
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n";
        stream.get_mut().write_all(answer).await?;
    }
    Ok(())
}
