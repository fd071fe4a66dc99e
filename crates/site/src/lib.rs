//! What a platform tells about a deployment, and the border to its services.
//!
//! The types are the product's own. An adapter decodes its platform's formats into them and
//! implements the traits [`Source`], [`Dialect`] and [`Engine`].

pub mod config;
pub mod dialect;
pub mod engine;
pub mod server;
pub mod settings;
pub mod source;
pub mod view;

pub use config::Config;
pub use config::Repeat;
pub use config::Route;
pub use config::Service;
pub use dialect::CallHead;
pub use dialect::Dialect;
pub use dialect::ReplyHead;
pub use dialect::SendHead;
pub use engine::Engine;
pub use server::BackendServer;
pub use server::ServerState;
pub use settings::NodeSettings;
pub use source::Change;
pub use source::Source;
pub use source::SourceError;
pub use view::View;
