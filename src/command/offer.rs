//! Tells agents of a document that has just been accepted, so that an outage of the platform right
//! after the acceptance doesn't hide it.

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

/// Agents to tell, and the keys for the connection.
#[derive(Debug, Clone, Bpaf)]
pub struct OfferFlags {
    /// Agent that is told at once of an accepted version; may be repeated
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

/// Offers a document to the agents of the flags and prints what became of it.
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
        match offer_one(&endpoint, *address, &content).await {
            Ok(true) => print_line!("in force at {address}"),
            Ok(false) => print_line!("{address} was told but has not put it in force yet"),
            Err(error) => print_line!("{address} was not told: {error}"),
        }
    }
}

/// Tells one agent and serves it the content until it has the version in force.
async fn offer_one(
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
    let told = async {
        loop {
            let answer = exchange::call(&connection, NO_REQUEST, &beacon).await;
            if let Some(Message::Beacon(Some(theirs))) = answer
                && theirs.version >= newest.version
            {
                return;
            }
            tokio::time::sleep(limits::DOCUMENT_SYNC_INTERVAL).await;
        }
    };
    let done = tokio::select! {
        done = tokio::time::timeout(limits::CONTROL_TIMEOUT, told) => done.is_ok(),
        () = serve(&connection, content) => false,
    };
    connection.close(quinn::VarInt::from_u32(0), b"done");
    Ok(done)
}

async fn serve(connection: &Connection, content: &Content) {
    while let Ok((send, receive)) = connection.accept_bi().await {
        let question = Receiver::new(Some(NO_REQUEST), receive).receive().await;
        let sender = Sender::new(NO_REQUEST, send);
        let answer = match question {
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
        exchange::reply(sender, answer).await;
    }
}
