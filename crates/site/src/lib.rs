//! What a platform tells about a deployment, and the border to its services.
//!
//! The types are the product's own. An adapter decodes its platform's formats into them and
//! implements the traits [`Source`], [`HeaderCodec`] and [`Engine`].

pub mod config;
pub mod engine;
pub mod headers;
pub mod server;
pub mod settings;
pub mod source;
pub mod view;

pub use config::Config;
pub use config::RequestKind;
pub use config::Route;
pub use config::Service;
pub use engine::Engine;
pub use headers::ForwardHead;
pub use headers::HeaderCodec;
pub use headers::RequestHead;
pub use headers::ResponseHead;
pub use server::BackendServer;
pub use server::ServerState;
pub use settings::NodeSettings;
pub use source::Source;
pub use source::SourceError;
pub use source::Versioned;
pub use view::DeploymentView;
