//! One question and one answer between processes, each on a stream of its own.

use quinn::Connection;

use siskinbend_types::RequestId;
use siskinbend_wire::Message;
use siskinbend_wire::Receiver;
use siskinbend_wire::Sender;

use crate::limits;

/// Id of frames that belong to no request.
pub const NO_REQUEST: RequestId = RequestId(0);

/// Sends one message on a stream of its own and waits a bounded time for the answer.
pub async fn call(connection: &Connection, id: RequestId, question: &Message) -> Option<Message> {
    let exchange = async {
        let (send, receive) = connection.open_bi().await.ok()?;
        let mut sender = Sender::new(id, send);
        sender.send(std::slice::from_ref(question)).await.ok()?;
        Receiver::new(Some(id), receive).receive().await.ok()
    };
    tokio::time::timeout(limits::CONTROL_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}

/// Sends the answer to a question and waits a bounded time until the peer has it.
pub async fn reply(mut sender: Sender, answer: Message) {
    let sending = async {
        // Without a connection nobody waits for the answer; the peer asks again.
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
