//! Sends a million invalid messages to a member: replayed, mutated, forged, too long, too short. Runs outside
//! CI:
//! `cargo test --release -p wheelpier-testbench --test hostile -- --ignored --nocapture`.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::UdpSocket;
use wheelpier::membership::failure_detector;
use wheelpier::membership::member::MemberMessage;
use wheelpier::membership::transport::{AddressTable, Authenticator, Key, Transport};
use wheelpier::membership::{Identity, Name};
use wheelpier::Timestamp;
use wheelpier_testbench::processes::Processes;

const MESSAGES: u64 = 1_000_000;
const FORMATION_TIMEOUT: Duration = Duration::from_secs(40);

/// Returns messages from three senders: one with the fleet's key and id, one with another key, and one with
/// the id of another fleet.
fn sample_messages(address: std::net::SocketAddr) -> Vec<Vec<u8>> {
    let target: Name = "p0".into();
    let mut all = Vec::new();
    for (n, (key, fleet)) in [("5e", "lab"), ("5f", "lab"), ("5e", "another")].into_iter().enumerate() {
        let authenticator = Authenticator::new(fleet, &Key::from_hex(&key.repeat(32)).unwrap(), None);
        let addresses = AddressTable::new([(Name::clone(&target), address)].into());
        let me = Identity::new("p1", 99 + n as u64);
        let mut transport = Transport::new(me.name.clone(), authenticator, addresses, n as u64);
        for number in 0..50 {
            let target_member = Identity { name: Name::clone(&target), incarnation: 0 };
            let probe = MemberMessage::FailureDetector(failure_detector::Message::Probe {
                sequence: number,
                updates: Vec::new(),
            });
            for message in
                [probe, MemberMessage::JoinRequest, MemberMessage::LeaseStarved, MemberMessage::Leaving]
            {
                all.extend(
                    transport
                        .send(Timestamp(0), &me, &target_member, message)
                        .unwrap()
                        .into_iter()
                        .map(|datagram| datagram.bytes),
                );
            }
        }
    }
    all
}

fn mutate(mut bytes: Vec<u8>, random: &mut ChaCha8Rng) -> Vec<u8> {
    match random.random_range(0..6) {
        0 => {}
        1 => bytes.truncate(random.random_range(0..bytes.len())),
        2 => bytes.extend(std::iter::repeat_n(7, random.random_range(0..2_000))),
        3 => bytes.iter_mut().for_each(|byte| *byte = random.random()),
        _ => {
            for _ in 0..random.random_range(1..4) {
                let index = random.random_range(0..bytes.len());
                bytes[index] ^= 1 << random.random_range(0..8);
            }
        }
    }
    bytes
}

#[tokio::test]
#[ignore = "a million messages: outside CI"]
async fn a_million_invalid_messages_change_nothing() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_wheelpier-testbench"));
    let fleet = Processes::start(program, 3, 7).await.unwrap();
    fleet
        .wait_until("all members are in the fleet", FORMATION_TIMEOUT, |fleet| {
            fleet.agree_on_view(&[0, 1, 2])
        })
        .await;
    let (view, before) = (fleet.latest_view(0).0, fleet.memory(0).unwrap());
    let (address, mut random) = (fleet.peer_address(0), ChaCha8Rng::seed_from_u64(7));
    let messages = sample_messages(address);
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut at_half = 0;
    for n in 0..MESSAGES {
        let bytes = mutate(messages[random.random_range(0..messages.len())].clone(), &mut random);
        let _ = socket.send_to(&bytes, address).await;
        if n % 64 == 0 {
            // Limits the rate, so that the member reads the messages and the system does not drop them.
            tokio::time::sleep(Duration::from_micros(500)).await;
        }
        if n == MESSAGES / 2 {
            at_half = fleet.memory(0).unwrap();
        }
    }
    let after = fleet.memory(0).unwrap();
    let figures = fleet.admin_stats(0).await.unwrap();
    let fleet_figures: Vec<&str> = figures.lines().filter(|line| line.contains("fleet.")).collect();
    println!(
        "memory {before} KiB before, {at_half} after half, {after} after all\n{}",
        fleet_figures.join("\n")
    );
    assert!(fleet.agree_on_view(&[0, 1, 2]), "{}", fleet.recent_output());
    assert_eq!(fleet.latest_view(0).0, view, "no view has changed");
    let dropped = |cause: &str| {
        let line = figures.lines().find_map(|line| line.strip_prefix(&format!("gw.fleet.dropped.{cause}=")));
        line.and_then(|count| count.parse::<u64>().ok()).unwrap_or(0)
    };
    for cause in ["garbage", "forged", "fleet", "unproved", "oversized", "version"] {
        assert!(dropped(cause) > 0, "{cause}: no message was dropped for this reason");
    }
    // The memory for peers is bounded: the second half of the messages must not need more than the first.
    assert!(after < at_half + 1_024, "{at_half} KiB after half, {after} KiB after all");
}
