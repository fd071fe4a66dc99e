//! A document of the planned size.

use std::fmt::Write as _;

/// Models of the planned size.
const MODELS: usize = 13;

/// Writes a valid document that differs with every change.
pub(crate) fn write_document(organisations: usize, change: u32) -> String {
    let mut text = String::from("environment = \"planned\"\n");
    for zone in 0..9 {
        let region = zone / 3;
        let _ = write!(
            text,
            "\n[[zones]]\nname = \"zone-{zone}\"\nregion = \"r{region}\"\n"
        );
    }
    for index in 0..organisations {
        let digest = format!("{index:064x}");
        let weight = 1 + (index + change as usize) % 7;
        let _ = write!(
            text,
            "\n[[organisations]]\nname = \"organisation-{index}\"\n\
             token_digests = [\"{digest}\"]\nweight = {weight}\nrate_limit = 50\n"
        );
    }
    for model in 0..MODELS {
        let _ = write!(
            text,
            "\n[[services]]\nname = \"model-{model}\"\nkind = \"model\"\nmodel = \"m{model}\"\n\
             drain_ms = 60000\nqueue_limit = 64\nconcurrency = 16\n\
             [[services.routes]]\nmethod = \"POST\"\npath = \"/drafts\"\nidempotent = true\n\
             timeout_ms = 60000\nstall_ms = 5000\nbody_limit = \"256KiB\"\n\
             [[groups]]\nname = \"group-{model}\"\nservice = \"model-{model}\"\nranks = 64\n\
             experts = 256\nlayers = 60\nslots = 6\nexpert_size = \"8MiB\"\nload_rate = \"1GiB\"\n\
             price = {{ skew_weight = 4.0, byte_cost = 0.05, horizon_steps = 20000 }}\n"
        );
    }
    text
}
