//! `wheelpier check`: prints a summary of the configuration.

use crate::budget::PURPOSES;
use crate::config::{ClassName, Config, Names, PeerSettings};
use crate::membership::MAX_VOTERS;
use bytesize::ByteSize;

#[cfg(test)]
mod tests;

/// Prints a summary of the configuration to standard output.
pub(super) fn print(config: &Config) {
    print_addresses(config);
    print_limits(config);
    for class in &config.names.classes {
        let keyed = if class.needs_key { ", keyed" } else { "" };
        println!("class        {}: {}{keyed}", class.name, if class.is_write { "writes" } else { "reads" });
    }
    let fleet = config.operator.peers.iter().flat_map(fleet_lines);
    fleet.chain(accepted_comments(&config.names)).for_each(|line| println!("{line}"));
}

fn print_addresses(config: &Config) {
    println!("name         {}", config.name);
    for (protocol, address) in config.listeners() {
        println!("listener     {address} ({protocol})");
    }
    println!("discovery    {}", config.discovery);
    match config.console {
        Some(address) => println!("console      {address}"),
        None => println!("console      none"),
    }
}

fn print_limits(config: &Config) {
    println!(
        "connections  {} for clients, {} for ledger hosts",
        config.limits.clients, config.limits.upstream
    );
    println!(
        "requests     at most {} pending, at most {} attempts each",
        config.max_pending_requests, config.max_attempts
    );
    println!("memory       {} accounted for", ByteSize(config.plan.total));
    println!("  {:<18}{:>12}{:>12}", "purpose", "cap", "reserve");
    for (purpose, limits) in PURPOSES.iter().zip(&config.plan.limits) {
        let cap = ByteSize(limits.cap).to_string();
        let reserve = ByteSize(limits.reserve).to_string();
        println!("  {:<18}{cap:>12}{reserve:>12}", purpose.to_string());
    }
}

/// Returns the lines about the fleet and the number of lost voters that it tolerates.
fn fleet_lines(peers: &PeerSettings) -> Vec<String> {
    let keys =
        if peers.second_key.is_some() { "two keys, the first authenticates messages" } else { "one key" };
    let founders: Vec<&str> = peers.founders.keys().map(AsRef::as_ref).collect();
    let voters = founders.len().min(MAX_VOTERS);
    let tolerated_losses = match voters {
        1 => "one founder: the only voter until others join".to_owned(),
        2 => "two voters tolerate no loss: if one is lost the other is fenced until it is back, since it \
              cannot tell a failed peer from a broken link; a third proxy avoids this, and leaving at \
              SIGTERM always works"
            .to_owned(),
        _ => {
            let losses = (voters - 1) / 2;
            format!(
                "{voters} voters tolerate the loss of {losses} at once, and as many again after each new view"
            )
        }
    };
    vec![
        format!("fleet        {} on {}, {keys}", peers.fleet, peers.listen),
        format!("founders     {}; all of them found the fleet together", founders.join(", ")),
        format!("  {tolerated_losses}"),
    ]
}

/// Returns the lines about the tenants and about the comment that statements of each class must have.
fn accepted_comments(names: &Names) -> Vec<String> {
    let tenant_names: Vec<&str> = names.tenants.iter().map(|tenant| tenant.name.as_str()).collect();
    let tenants = match tenant_names[..] {
        [] => "none: comments need no `t`".to_owned(),
        _ => format!("{}; each comment needs its `t`", tenant_names.join(", ")),
    };
    let comment = |class: &ClassName| {
        let tenant = if names.has_tenants() { ",t=TENANT" } else { "" };
        let key = if class.needs_key { ",k=KEY" } else { "" };
        format!("accepts      /* id=ID,c={}{tenant},d=MS{key},cluster=GROUP */", class.name)
    };
    std::iter::once(format!("tenants      {tenants}")).chain(names.classes.iter().map(comment)).collect()
}
