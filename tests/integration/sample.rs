//! Document and tokens of the failure tests.

use sha2::Digest;
use sha2::Sha256;

/// Token of the organisation `growers`.
pub const GROWERS_TOKEN: &str = "growers-token";

/// Token of the organisation `pickers`.
pub const PICKERS_TOKEN: &str = "pickers-token";

/// SHA-256 of a token in the form that the document contains.
fn digest(token: &str) -> String {
    hex::encode(Sha256::digest(token))
}

/// Builds a document with one plain and one model service; `organisations` are pairs of name and
/// token.
///
/// The timeout of a stream is longer than any wait of a test, so that a test cannot mistake the
/// timeout for a cancel.
pub fn build_document(organisations: &[(&str, &str)]) -> String {
    let mut text =
        "environment = \"test\"\n[[zones]]\nname = \"oyo\"\nregion = \"sw\"\n".to_owned();
    for (name, token) in organisations {
        text += &format!(
            "[[organisations]]\nname = \"{name}\"\ntoken_digests = [\"{}\"]\nweight = 1\n\
             rate_limit = 1000\n",
            digest(token)
        );
    }
    text += "[[services]]\nname = \"desk\"\nkind = \"plain\"\ndrain_ms = 30000\n\
             queue_limit = 64\nconcurrency = 16\n";
    let routes = [
        ("/bookings", false, "refuse"),
        ("/returns", false, "run"),
        ("/quotes", true, "refuse"),
    ];
    for (path, idempotent, outage) in routes {
        text += &format!(
            "[[services.routes]]\nmethod = \"POST\"\npath = \"{path}\"\nidempotent = {idempotent}\n\
             timeout_ms = 20000\nstall_ms = 10000\nbody_limit = \"64KiB\"\n\
             on_outage = \"{outage}\"\n"
        );
    }
    text += "[[services.routes]]\nmethod = \"GET\"\npath = \"/ladders\"\nidempotent = true\n\
             timeout_ms = 20000\nstall_ms = 10000\nbody_limit = \"4KiB\"\n";
    text += "[[services]]\nname = \"pool\"\nkind = \"model\"\nmodel = \"writer\"\n\
             version = \"r1\"\ndrain_ms = 60000\nqueue_limit = 64\nconcurrency = 8\n\
             [[services.routes]]\nmethod = \"POST\"\npath = \"/drafts\"\nidempotent = true\n\
             timeout_ms = 60000\nstall_ms = 10000\nbody_limit = \"64KiB\"\n";
    text
}
