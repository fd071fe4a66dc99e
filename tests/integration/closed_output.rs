//! Tests of commands whose standard output is closed early.

use std::process::Command;
use std::process::Stdio;

/// Guards against a panic or failure of a command whose reader, such as `head`, closes the pipe;
/// here it is closed before anything is written.
#[test]
fn closed_pipe_is_not_an_error() {
    let name = format!("siskinbend-closed-{}.conf", std::process::id());
    let settings = std::env::temp_dir().join(name);
    let text = "node=edge-1\nip=127.0.0.1\nzone=a\nportRange=4000,4010\n\
                platform.address=127.0.0.1:4100\nlisten.front=127.0.0.1:4200\n\
                listen.ready=127.0.0.1:4201\n";
    std::fs::write(&settings, text).expect("a settings file");
    let run = |stdout: Stdio| {
        Command::new(env!("CARGO_BIN_EXE_siskinbend"))
            .args(["check-settings", "--settings"])
            .arg(&settings)
            .stdout(stdout)
            .stderr(Stdio::piped())
            .spawn()
            .and_then(|child| child.wait_with_output())
            .expect("the program runs")
    };
    let open = run(Stdio::piped());
    assert!(open.status.success() && !open.stdout.is_empty(), "{open:?}");
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let closed = run(writer.into());
    let errors = String::from_utf8_lossy(&closed.stderr).into_owned();
    assert!(closed.status.success(), "{errors}");
    assert_eq!(errors, "");
}
