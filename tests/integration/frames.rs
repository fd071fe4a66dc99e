//! Decoding of frames. Guards against received bytes that crash the process, use unlimited memory,
//! or are decoded as a frame of another request.

use bytes::Bytes;
use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use siskinbend_request::claim;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;
use siskinbend_types::Window;
use siskinbend_wire::FrameError;
use siskinbend_wire::Load;
use siskinbend_wire::Message;
use siskinbend_wire::Status;
use siskinbend_wire::frame;
use siskinbend_wire::limits::HEADER_BYTES;
use siskinbend_wire::limits::MAX_PAYLOAD_BYTES;

fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        cases: 2_000,
        ..ProptestConfig::default()
    }
}

fn build_status(running: u32, draining: bool) -> Status {
    let load = Load {
        running,
        queued: 1,
        slots: 2,
        hold_ms: 3,
        idle_ms: 4,
    };
    let (incarnation, window) = (Incarnation(u64::MAX), Window(9));
    Status {
        incarnation,
        window,
        draining,
        entries: 5,
        load,
        newest: None,
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = frame::decode(&mut buffer) {}
    }

    #[test]
    fn any_payload_is_decoded_or_rejected(
        kind in 0u8..30,
        payload in prop::collection::vec(any::<u8>(), 0..120),
    ) {
        let mut buffer = BytesMut::from(&[kind][..]);
        buffer.extend_from_slice(&u32::try_from(payload.len()).unwrap_or(0).to_be_bytes());
        buffer.extend_from_slice(&7u128.to_be_bytes());
        buffer.extend_from_slice(&payload);
        match frame::decode(&mut buffer) {
            Ok(Some((id, _))) => prop_assert_eq!(id, RequestId(7)),
            Ok(None) => prop_assert!(false, "the frame was complete"),
            Err(error) => prop_assert!(matches!(error, FrameError::UnknownKind(_) | FrameError::MalformedPayload(_))),
        }
    }

    #[test]
    fn frames_round_trip_in_pieces(
        id: u128,
        running: u32,
        draining: bool,
        data in prop::collection::vec(any::<u8>(), 0..300),
        cut in 1usize..40,
    ) {
        let sent = [
            Message::Accepted(build_status(running, draining)),
            Message::Chunk(Bytes::from(data)),
            Message::Refused(Reason::Draining, build_status(running, draining)),
            Message::End(build_status(0, draining)),
        ];
        let mut bytes = BytesMut::new();
        for message in &sent {
            frame::encode(RequestId(id), message, &mut bytes);
        }
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        for piece in bytes.chunks(cut) {
            buffer.extend_from_slice(piece);
            while let Some((from, message)) = frame::decode(&mut buffer).expect("a valid frame") {
                prop_assert_eq!(from, RequestId(id));
                received.push(message);
            }
        }
        prop_assert_eq!(&received[..], &sent[..]);
    }

    #[test]
    fn any_claim_text_is_decoded_or_rejected(text in ".{0,200}") {
        if let Err(error) = claim::decode(&text) {
            prop_assert!(!error.to_string().is_empty());
        }
    }
}

#[test]
fn announced_size_is_limited_before_the_payload_arrives() {
    // Without the limit, a peer could make the process buffer 4 GiB.
    let mut buffer = BytesMut::from(&[10u8][..]);
    let size = MAX_PAYLOAD_BYTES + 1;
    buffer.extend_from_slice(&u32::try_from(size).unwrap_or(u32::MAX).to_be_bytes());
    buffer.extend_from_slice(&[0; HEADER_BYTES - 5]);
    assert_eq!(frame::decode(&mut buffer), Err(FrameError::TooLarge(size)));
}
