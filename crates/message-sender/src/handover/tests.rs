//! Tests of the frames, the ownership lock and the path of the handover socket.

use tokio::net::{UnixListener, UnixStream};

use super::error::HandoverError;
use super::ownership::OwnershipLock;
use super::protocol::{read_frame, write_frame, Hello, Prepared};
use super::socket_path::SocketPath;

/// Guards against a frame that is read only in part, or past its end into the frame that follows.
#[tokio::test]
async fn a_frame_is_read_as_it_was_written() {
    let (mut writer, mut reader) = tokio::io::duplex(64);
    write_frame(&mut writer, &Hello { protocol_version: Some(3) }).await.unwrap();
    write_frame(&mut writer, &Prepared).await.unwrap();
    let hello: Hello = read_frame(&mut reader).await.unwrap();
    assert_eq!(hello.protocol_version, Some(3));
    let Prepared = read_frame(&mut reader).await.unwrap();
}

/// Guards against an allocation of any size that another process asks for: the length in front of a frame
/// must be checked before memory for the frame is allocated.
#[tokio::test]
async fn a_frame_longer_than_any_that_makes_sense_is_not_read() {
    let length = 16 * 1024 * 1024 + 1_u32;
    let bytes = length.to_le_bytes();
    let read = read_frame::<Prepared>(&mut &bytes[..]).await;
    assert!(matches!(read, Err(HandoverError::FrameTooLong { frame: "prepared frame", length: 16_777_217 })));
}

/// Guards against errors that do not say which step of a handover failed, and against a broken connection
/// that is taken for a state that cannot be used: the next request would then be for the journal alone.
#[tokio::test]
async fn an_error_names_the_frame_that_did_not_come() {
    let Err(error) = read_frame::<Hello>(&mut &[8, 0, 0, 0, 0x81][..]).await else { panic!("half a frame") };
    assert!(error.to_string().starts_with("cannot read the hello frame: "), "{error}");
    assert!(!error.makes_state_unusable());
    // No MessagePack value begins with the byte 0xc1.
    let Err(error) = read_frame::<Hello>(&mut &[1, 0, 0, 0, 0xc1][..]).await else { panic!("no frame") };
    assert!(error.to_string().starts_with("cannot decode the hello frame: "), "{error}");
    assert!(error.makes_state_unusable());
}

/// Guards against two processes that both write the journal, and against a lock that outlives its holder.
#[test]
fn the_lock_has_one_holder_and_is_released_when_dropped() {
    let folder = tempfile::tempdir().unwrap();
    let lock = OwnershipLock::try_acquire(folder.path()).unwrap();
    assert!(lock.is_some());
    assert!(OwnershipLock::try_acquire(folder.path()).unwrap().is_none());
    drop(lock);
    assert!(OwnershipLock::try_acquire(folder.path()).unwrap().is_some());
}

/// Guards against a handover socket that cannot be bound because the path of the state folder is too long for
/// a socket address: no upgrade could then be a handover.
#[tokio::test]
async fn a_state_folder_with_a_long_path_has_a_handover_socket() {
    let base = tempfile::tempdir().unwrap();
    let folder = base.path().join("a".repeat(120));
    std::fs::create_dir(&folder).unwrap();
    let bound = SocketPath::in_folder(&folder).unwrap();
    let _listener = UnixListener::bind(bound.as_path()).unwrap();
    assert!(folder.join("handover").exists());
    let connected = SocketPath::in_folder(&folder).unwrap();
    UnixStream::connect(connected.as_path()).await.unwrap();
}
