use super::*;
use std::cell::Cell;

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn local_faults_are_distinguished_from_errors_of_the_network_and_the_peer() {
    use libc::*;
    for number in [EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR] {
        assert!(is_local_fault(&error(number)), "{number}");
    }
    for number in [ECONNREFUSED, ECONNRESET, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNABORTED, EPIPE] {
        assert!(!is_local_fault(&error(number)), "{number}");
    }
}

#[tokio::test]
async fn a_local_fault_is_retried() {
    let calls = Cell::new(0);
    let call = || async {
        calls.set(calls.get() + 1);
        if calls.get() < 5 {
            Err(error(libc::ENOBUFS))
        } else {
            Ok(7)
        }
    };
    let started_at = Instant::now();
    let result = retry_local_faults(started_at + Duration::from_secs(1), call).await;
    assert_eq!(result.expect("in time").expect("made"), 7);
    assert!(started_at.elapsed() >= Duration::from_millis(5 + 10 + 20 + 40));
}

#[tokio::test]
async fn a_persistent_local_fault_is_returned_by_the_deadline_and_other_errors_at_once() {
    let started_at = Instant::now();
    let persistent = retry_local_faults(started_at + Duration::from_millis(200), || async {
        Err::<(), _>(error(libc::EMFILE))
    })
    .await;
    assert!(
        is_local_fault(&persistent.expect("returned").unwrap_err())
            && started_at.elapsed() <= Duration::from_millis(220)
    );
    let started_at = Instant::now();
    let refused = retry_local_faults(started_at + Duration::from_secs(1), || async {
        Err::<(), _>(error(libc::ECONNREFUSED))
    })
    .await;
    assert!(
        !is_local_fault(&refused.expect("returned").unwrap_err())
            && started_at.elapsed() < Duration::from_millis(500)
    );
}
