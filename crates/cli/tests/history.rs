//! The history of a request must include the lines of every daemon, and the latest configuration in
//! force before the request.

use std::fs;
use std::path::Path;
use std::process::Command;

const FIRST: &str = r#"{"unix_ms":900,"part":"config","event":"config_in_force","version":5,"previous_version":2,"revision":50}
{"unix_ms":990,"part":"config","event":"config_in_force","version":6,"previous_version":5,"revision":51}
{"unix_ms":1000,"part":"leaf","event":"leaf_failed","request":"r1","service":"a","leaf":"a0","failure":"broken_off","after_ms":7}
some text of another program
{"unix_ms":1001,"part":"entry","event":"refused","request":"r1","route":"once","reason":"leafs_failed","after_ms":8}
{"unix_ms":1002,"part":"entry","event":"answered","request":"r2","route":"once","status":200,"after_ms":3}
"#;
const SECOND: &str = r#"{"unix_ms":1100,"part":"entry","event":"answered","request":"r1","route":"once","status":200,"after_ms":3}
"#;

fn assert_history(request: &str, code: i32, expected: &str) {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("history-{request}"));
    fs::create_dir_all(&directory).unwrap();
    fs::write(directory.join("vm-1.log"), FIRST).unwrap();
    fs::write(directory.join("vm-2.log"), SECOND).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_medlarpin"))
        .current_dir(&directory)
        .args(["history", request, "vm-1.log", "vm-2.log"])
        .output()
        .unwrap();
    assert_eq!(String::from_utf8_lossy(&output.stdout), expected);
    assert_eq!(output.status.code(), Some(code));
}

#[test]
fn history_merges_the_logs_of_several_daemons() {
    assert_history(
        "r1",
        0,
        "\
AT MS  LOG       PART    EVENT            FIELDS
-10    vm-1.log  config  config_in_force  previous_version=5 revision=51 version=6
+0     vm-1.log  leaf    leaf_failed      after_ms=7 failure=broken_off leaf=a0 service=a
+1     vm-1.log  entry   refused          after_ms=8 reason=leafs_failed route=once
+100   vm-2.log  entry   answered         after_ms=3 route=once status=200
",
    );
}

#[test]
fn request_missing_from_the_logs_is_an_error() {
    assert_history("r9", 8, "");
}
