//! Offers a document that has just been accepted directly to agents, so that it spreads even if the
//! platform fails right after the acceptance.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use bytes::Bytes;
use quinn::Connection;
use quinn::Endpoint;

use siskinbend_control::version::Content;
use siskinbend_wire::Credentials;
use siskinbend_wire::DocumentVersion;
use siskinbend_wire::Message;
use siskinbend_wire::Receiver;
use siskinbend_wire::Sender;
use siskinbend_wire::TransportError;
use siskinbend_wire::transport;

use crate::command::out::print_line;
use crate::exchange;
use crate::exchange::NO_REQUEST;
use crate::limits;

/// Agents to notify, and the credentials for the connections.
#[derive(Debug, Clone, Bpaf)]
pub struct OfferFlags {
    /// Agent to notify directly of an accepted version; may be repeated
    #[bpaf(argument("IP:PORT"))]
    notify: Vec<SocketAddr>,
    /// PEM file with the fleet's CA certificates
    #[bpaf(env("SISKINBEND_CA"), argument("FILE"))]
    ca: Option<PathBuf>,
    /// PEM file with the operator's certificate chain
    #[bpaf(env("SISKINBEND_CERT"), argument("FILE"))]
    cert: Option<PathBuf>,
    /// PEM file with the operator's private key
    #[bpaf(env("SISKINBEND_KEY"), argument("FILE"))]
    key: Option<PathBuf>,
}

/// Offers a document to the agents given by the flags and prints the result for each.
pub(super) async fn offer(flags: &OfferFlags, content: Content) {
    if flags.notify.is_empty() {
        return;
    }
    let (Some(ca), Some(cert), Some(key)) = (&flags.ca, &flags.cert, &flags.key) else {
        print_line!("no agent was told: --notify needs --ca, --cert and --key");
        return;
    };
    let local = SocketAddr::from(([0, 0, 0, 0], 0));
    let endpoint =
        Credentials::load(ca, cert, key).and_then(|keys| transport::bind_client(local, &keys));
    let endpoint = match endpoint {
        Ok(endpoint) => endpoint,
        Err(error) => {
            print_line!("no agent was told: {error}");
            return;
        }
    };
    for address in &flags.notify {
        match offer_to_agent(&endpoint, *address, &content).await {
            Ok(true) => print_line!("in force at {address}"),
            Ok(false) => print_line!("{address} was told but has not put it in force yet"),
            Err(error) => print_line!("{address} was not told: {error}"),
        }
    }
}

/// Announces the version to one agent and serves the content. Returns whether the agent has
/// activated this version or a newer one within the timeout.
async fn offer_to_agent(
    endpoint: &Endpoint,
    address: SocketAddr,
    content: &Content,
) -> Result<bool, TransportError> {
    let connection = transport::connect(endpoint, address).await?;
    let tag = content.tag;
    let newest = DocumentVersion {
        version: tag.version,
        digest: tag.digest,
    };
    let beacon = Message::Beacon(Some(newest));
    let announce = async {
        loop {
            let reply = exchange::call(&connection, NO_REQUEST, &beacon).await;
            if let Some(Message::Beacon(Some(active))) = reply
                && active.version >= newest.version
            {
                return;
            }
            tokio::time::sleep(limits::DOCUMENT_SYNC_INTERVAL).await;
        }
    };
    let activated = tokio::select! {
        result = tokio::time::timeout(limits::CONTROL_TIMEOUT, announce) => result.is_ok(),
        () = serve_content(&connection, content) => false,
    };
    connection.close(quinn::VarInt::from_u32(0), b"done");
    Ok(activated)
}

/// Answers the agent's fetches and beacons until the connection is lost.
async fn serve_content(connection: &Connection, content: &Content) {
    while let Ok((send, receive)) = connection.accept_bi().await {
        let request = Receiver::new(Some(NO_REQUEST), receive).receive().await;
        let sender = Sender::new(NO_REQUEST, send);
        let reply = match request {
            Ok(Message::Fetch(wanted)) if wanted.digest == content.tag.digest => {
                Message::Content(Bytes::from(content.text.as_bytes().to_vec()))
            }
            Ok(Message::Fetch(_)) => Message::NoContent(false),
            Ok(Message::Beacon(_)) => Message::Beacon(Some(DocumentVersion {
                version: content.tag.version,
                digest: content.tag.digest,
            })),
            _ => continue,
        };
        exchange::reply(sender, reply).await;
    }
}
