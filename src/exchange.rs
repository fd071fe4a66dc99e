//! Request and response between processes, each pair on a separate stream.

use quinn::Connection;

use siskinbend_types::RequestId;
use siskinbend_wire::Message;
use siskinbend_wire::Receiver;
use siskinbend_wire::Sender;

use crate::limits;

/// Id of frames that do not belong to a caller's request.
pub const NO_REQUEST: RequestId = RequestId(0);

/// Sends a message on a new stream and waits for the answer, with a timeout.
pub async fn call(connection: &Connection, id: RequestId, message: &Message) -> Option<Message> {
    let exchange = async {
        let (send, receive) = connection.open_bi().await.ok()?;
        let mut sender = Sender::new(id, send);
        sender.send(std::slice::from_ref(message)).await.ok()?;
        Receiver::new(Some(id), receive).receive().await.ok()
    };
    tokio::time::timeout(limits::CONTROL_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}

/// Sends the answer to a message and waits, with a timeout, until the peer has received it.
pub async fn reply(mut sender: Sender, answer: Message) {
    let sending = async {
        // The send fails if the connection is lost; the peer then repeats its message.
        if sender.send(&[answer]).await.is_ok() {
            sender.finish().await;
        }
    };
    if tokio::time::timeout(limits::CONTROL_TIMEOUT, sending)
        .await
        .is_err()
    {
        log::debug!("answer_not_taken");
    }
}
