use super::*;
use std::cell::Cell;

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn what_this_machine_lacks_is_told_from_what_the_path_or_the_other_side_does() {
    use libc::*;
    for number in [EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR] {
        assert!(is_local_fault(&error(number)), "{number}");
    }
    for number in [ECONNREFUSED, ECONNRESET, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNABORTED, EPIPE] {
        assert!(!is_local_fault(&error(number)), "{number}");
    }
}

#[tokio::test]
async fn a_lack_is_waited_out() {
    let calls = Cell::new(0);
    let call = || async {
        calls.set(calls.get() + 1);
        if calls.get() < 5 {
            Err(error(libc::ENOBUFS))
        } else {
            Ok(7)
        }
    };
    let began = Instant::now();
    let done = retry_local_faults(began + Duration::from_secs(1), call).await;
    assert_eq!(done.expect("in time").expect("made"), 7);
    assert!(began.elapsed() >= Duration::from_millis(5 + 10 + 20 + 40));
}

#[tokio::test]
async fn a_lack_that_lasts_is_told_in_time_and_another_failure_at_once() {
    let began = Instant::now();
    let lasting = retry_local_faults(began + Duration::from_millis(200), || async {
        Err::<(), _>(error(libc::EMFILE))
    })
    .await;
    assert!(
        is_local_fault(&lasting.expect("told").unwrap_err()) && began.elapsed() <= Duration::from_millis(220)
    );
    let began = Instant::now();
    let refused = retry_local_faults(began + Duration::from_secs(1), || async {
        Err::<(), _>(error(libc::ECONNREFUSED))
    })
    .await;
    assert!(
        !is_local_fault(&refused.expect("told").unwrap_err()) && began.elapsed() < Duration::from_millis(500)
    );
}
