//! Clients and ledger hosts that speak TDS, on sockets. The name of each scenario says what it checks.

use crate::scenario::play_tds;
use rstest::rstest;

/// Lines that log in a client, before those of a scenario.
const LOGGED_IN: &str = "
    t1 send prelogin
    t1 expect prelogin
    t1 send login
    t1 expect ready 74000004
";

#[rstest]
#[case::a_read_is_served_as_a_batch_and_as_a_call(
    1,
    "
    t1 send read q1 900
    h1 expect id=q1,c=any,t=acme k=7,cluster=0 k1
    h1 send value hello primary
    t1 expect value hello
    t1 send call q2 900
    h1 expect name = 'k1' id=q2
    h1 send value again primary
    t1 expect value again"
)]
#[case::a_write_keeps_its_key_and_its_value_goes_as_bytes(
    1,
    "
    t1 send write w1 900
    h1 expect ('k1', @value) k=7 id=w1 0x00ff
    h1 send value done primary
    t1 expect value done
    h1 expect silence 50"
)]
#[case::clients_of_both_protocols_reach_the_same_hosts(
    1,
    "
    c1 start
    h1 serve c1 read q1 900 = hello primary"
)]
#[case::common_session_statements_of_drivers_are_answered(
    1,
    "
    t1 send text
    t1 expect done
    t1 send text SELECT 1
    t1 expect number 1
    t1 send text SET ANSI_NULLS ON; set nocount on
    t1 expect done
    t1 send text USE store
    t1 expect done
    t1 send text IF @@TRANCOUNT > 0 COMMIT TRAN
    t1 expect done
    t1 send procedure sp_reset_connection
    t1 expect done
    t1 send transaction
    t1 expect error 50010
    t1 send procedure sp_who
    t1 expect error 50010
    h1 expect silence 50"
)]
#[case::a_session_reset_is_acknowledged(
    1,
    "
    t1 send raw 01090028000001001600000012000000020000000000000000000100000053004500540020004100
    t1 expect reset"
)]
#[case::invalid_requests_fail_and_are_not_rejected(
    1,
    "
    t1 send text SELECT 2
    t1 expect error 102
    t1 send text SELECT content FROM kv WHERE name = 'a' /* id=1,c=other,t=acme,d=500,cluster=0 */
    t1 expect error 50022
    t1 send text INSERT INTO kv (name, content) VALUES ('a', '\\x00') RETURNING content /* id=1,c=write,t=acme,d=500,cluster=0 */
    t1 expect error 102
    h1 expect silence 50"
)]
#[case::a_second_request_waits_for_the_first(
    1,
    "
    t1 send read q1 900
    t1 send read q2 900
    h1 expect id=q1
    h1 expect silence 50
    h1 send value one primary
    h1 expect id=q2
    h1 send value two primary
    t1 expect value one
    t1 expect value two"
)]
#[case::an_attention_ends_the_open_request_and_the_connection_goes_on(
    1,
    "
    t1 send read q1 2900
    h1 expect id=q1
    t1 send attention
    t1 expect within 500 attention
    h1 expect closed                    # the attempt is cancelled by closing its connection
    t1 send read q2 900
    h1 expect id=q2
    h1 send value two primary
    t1 expect value two"
)]
#[case::an_attention_that_crosses_the_end_is_acknowledged_after_it(
    1,
    "
    t1 send read q1 900
    h1 expect id=q1
    h1 send value one primary
    wait 50
    t1 send attention
    t1 expect value one
    t1 expect attention"
)]
#[case::packets_may_come_byte_by_byte(
    1,
    "
    t1 send raw 01010028
    wait 30
    t1 send raw 0000010016000000120000000200000000000000000001000000
    wait 30
    t1 send raw 53
    wait 30
    t1 send raw 004500540020004100
    t1 expect done"
)]
#[case::a_second_handshake_ends_the_session_after_the_open_request(
    1,
    "
    t1 send read q1 900
    h1 expect id=q1
    t1 send prelogin
    h1 send value one primary
    t1 expect value one
    t1 expect error 4002
    t1 expect closed"
)]
#[case::a_second_login_of_another_version_ends_the_session(
    1,
    "
    t1 send login 72090002
    t1 expect error 4002
    t1 expect closed"
)]
#[case::bytes_of_postgres_in_the_middle_end_the_session(
    1,
    "
    t1 send raw 510000000853454c00
    t1 expect error 4002
    t1 expect closed"
)]
#[case::several_requests_at_once_are_declined(
    1,
    "
    t1 send raw 53010000100000000000000004000000
    t1 expect error 50010
    t1 expect closed"
)]
#[case::a_malformed_message_ends_the_connection_and_affects_no_other_client(
    1,
    "
    t2 send prelogin
    t2 expect prelogin
    t2 send login
    t2 expect ready 74000004
    t1 send raw 01010007                # shorter than its header
    t1 send raw 00000000
    t1 expect error 4002
    t1 expect closed
    t2 send read q1 900
    h1 expect id=q1
    h1 send value fine primary
    t2 expect value fine"
)]
#[case::an_incomplete_message_is_reported_within_three_seconds(
    1,
    "
    t1 send raw 0101002600000100
    t1 expect within 2900 error 4002
    t1 expect closed"
)]
#[case::an_unpaired_surrogate_is_an_invalid_statement(
    1,
    "
    t1 send raw 01010020000001001600000012000000020000000000000000000100000000d8
    t1 expect error 4002
    t1 expect closed"
)]
fn conversation(#[case] hosts: usize, #[case] text: &str) {
    play_tds(hosts, &format!("{LOGGED_IN}{text}"));
}

#[rstest]
#[case::a_reset_write_is_retried_with_its_key(
    1,
    "
    t1 send write w1 2900
    h1 expect id=w1 k=7
    h1 close                            # after the request's last byte: it may have run
    h1 expect k=7
    h1 send value done primary
    t1 expect value done"
)]
#[case::an_answer_truncated_inside_a_token_is_an_error(
    1,
    "
    t1 send write w1 2900
    h1 expect id=w1 k=7
    h1 send cut 60 half
    h1 close
    h1 expect k=7
    h1 send value whole primary
    t1 expect value whole
    t1 expect silence 50"
)]
#[case::a_duplicate_answer_costs_only_the_connection(
    1,
    "
    t1 send read q1 900
    h1 expect id=q1
    h1 send twice one
    t1 expect value one
    t1 send read q2 900
    h1 expect id=q2
    h1 send value two primary
    t1 expect value two"
)]
#[case::an_answer_with_an_unknown_token_is_a_failure_that_may_have_run(
    1,
    "
    t1 send read q1 900
    h1 expect id=q1
    h1 send raw 0401000c0000010042010203
    h1 expect id=q1
    h1 send value two primary
    t1 expect value two"
)]
#[case::an_answer_with_a_length_of_3_gb_is_an_error(
    1,
    "
    t1 send read q1 900
    h1 expect id=q1
    h1 send raw 0401003800000100810100000000000100a5ffff0763006f006e00740065006e007400d100000000c000000000
    h1 close
    h1 expect id=q1
    h1 send value two primary
    t1 expect value two"
)]
#[case::a_write_at_a_replica_goes_to_the_primary(
    2,
    "
    t1 send write w1 2900
    any expect id=w1
    any send error 3906                 # the host is no longer the primary
    any expect id=w1
    any send value done primary
    t1 expect value done"
)]
#[case::an_overloaded_host_has_the_client_retry_later(
    1,
    "
    t1 send read q1 300
    h1 expect id=q1
    h1 send error 49918
    t1 expect within 300 error 40501"
)]
#[case::nothing_new_goes_to_a_draining_host(
    2,
    "
    list expect follow=1
    list send h2 draining
    wait 100
    t1 send read q1 900
    h1 expect id=q1
    h1 send value one primary
    t1 expect value one
    h2 expect silence 50"
)]
fn answers(#[case] hosts: usize, #[case] text: &str) {
    play_tds(hosts, &format!("{LOGGED_IN}{text}"));
}

#[rstest]
#[case::encryption_is_declined_for_clients_that_accept_that(
    "
    t1 send prelogin off
    t1 expect prelogin
    t1 send login 72090002
    t1 expect ready 72090002"
)]
#[case::a_client_that_requires_encryption_gets_an_error(
    "
    t1 send prelogin required
    t1 expect prelogin
    t1 send login
    t1 expect error 18456
    t1 expect closed"
)]
#[case::tls_from_the_first_byte_gets_an_alert(
    "
    t1 send raw 16030100050100000100
    t1 expect bytes 15030100020246
    t1 expect closed"
)]
#[case::old_versions_and_integrated_logins_are_rejected(
    "
    t1-2 send prelogin
    t1-2 expect prelogin
    t1 send login 71000001
    t1 expect error 18456
    t1 expect closed
    t2 send login integrated
    t2 expect error 18456
    t2 expect closed"
)]
#[case::a_login_before_the_handshake_is_rejected(
    "
    t1 send login
    t1 expect error 4002
    t1 expect closed"
)]
#[case::a_login_with_a_truncated_table_is_rejected(
    "
    t1 send prelogin
    t1 expect prelogin
    t1 send raw 1001000c0000010004000000
    t1 expect error 4002
    t1 expect closed"
)]
#[case::a_postgresql_client_on_the_tds_port_gets_an_error_in_its_protocol(
    "
    t1 send raw 0000002100030000757365720061
    t1 expect bytes 45                  # ErrorResponse
    t2 send raw 0000000804d2162f        # also after a request for encryption
    t2 expect bytes 45"
)]
#[case::a_tds_client_on_the_postgresql_port_gets_an_error_in_its_protocol(
    "
    c1 send raw 1201002f00000100
    c1 expect bytes 0401"
)]
#[case::a_silent_client_is_disconnected(
    "
    t1 send raw 12
    t1 expect within 2000 closed"
)]
fn greetings(#[case] text: &str) {
    play_tds(1, text);
}
