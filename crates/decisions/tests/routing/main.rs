//! Tests of the routing decisions.

mod basics;
mod failures;
mod large_fleet;
mod large_fleet_failures;
mod random_sequences;
mod reconfigure;
mod role_belief;
mod role_doubt;
mod role_evidence;
mod rules;
mod shared_writes;
mod source_files;
mod world;
