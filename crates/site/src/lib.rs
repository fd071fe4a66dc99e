//! Platform-independent model of a deployment, and the interfaces to the platform's services.
//!
//! A platform adapter decodes the platform's formats into these types and implements the traits
//! [`Source`], [`HeaderCodec`] and [`Engine`].

pub mod config;
pub mod config_choice;
pub mod crash_log;
pub mod engine;
pub mod evacuation;
pub mod headers;
pub mod membership;
pub mod registry;
pub mod server;
pub mod settings;
pub mod source;
pub mod view;

pub use config::Config;
pub use config::RequestKind;
pub use config::Route;
pub use config::Service;
pub use crash_log::CrashEntry;
pub use crash_log::CrashLog;
pub use engine::Engine;
pub use evacuation::Evacuations;
pub use evacuation::ZoneStatus;
pub use headers::ForwardHead;
pub use headers::HeaderCodec;
pub use headers::IgnoredHeader;
pub use headers::RequestHead;
pub use headers::ResponseHead;
pub use membership::Member;
pub use membership::Membership;
pub use server::BackendServer;
pub use server::ServerState;
pub use settings::NodeSettings;
pub use source::OperatorRows;
pub use source::Position;
pub use source::Source;
pub use source::SourceError;
pub use source::StoredConfig;
pub use source::Versioned;
pub use view::DeploymentView;
