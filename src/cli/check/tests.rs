//! The lines about the comments of statements.

use super::*;
use crate::config::{ClassName, TenantName};

fn names(tenants: &[&str]) -> Names {
    let class =
        |name: &str, needs_key| ClassName { name: name.to_owned(), needs_key, ..ClassName::default() };
    let tenants =
        tenants.iter().map(|name| TenantName { name: (*name).to_owned(), is_configured: true }).collect();
    Names { classes: vec![class("look", false), class("pay", true)], tenants, zones: Vec::new() }
}

#[test]
fn check_prints_the_required_comment_of_each_class() {
    let lines = accepted_comments(&names(&[]));
    assert_eq!(lines[0], "tenants      none: comments need no `t`");
    assert_eq!(lines[1], "accepts      /* id=ID,c=look,d=MS,cluster=GROUP */");
    assert_eq!(lines[2], "accepts      /* id=ID,c=pay,d=MS,k=KEY,cluster=GROUP */");
    let lines = accepted_comments(&names(&["a", "b"]));
    assert_eq!(lines[0], "tenants      a, b; each comment needs its `t`");
    assert_eq!(lines[2], "accepts      /* id=ID,c=pay,t=TENANT,d=MS,k=KEY,cluster=GROUP */");
}
