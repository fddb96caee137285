//! Parses the values of fields and validates them against their kind.

use std::net::SocketAddr;
use std::time::Duration;

use base::Map;
use base::units::{format_bytes, format_duration, parse_bytes, parse_duration};
use saphyr::{MarkedYaml, Scalar, YamlData};

use crate::Kind;

/// A validated value.
#[derive(Debug, Clone)]
pub enum Value {
    /// A name or one word of a choice.
    Text(String),
    /// Addresses; at most one for the kinds of a single address.
    Addrs(Vec<SocketAddr>),
    /// Names.
    Names(Vec<String>),
    /// Pairs of a map of names to names, in the order of the file.
    Pairs(Vec<(String, String)>),
    /// A duration.
    Duration(Duration),
    /// A number or a size.
    Number(u64),
    /// A fraction.
    Ratio(f64),
    /// A flag.
    Flag(bool),
}

/// Values by field.
pub type Values = Map<&'static str, Value>;

/// Maximum number of items of a list or map.
const MAX_ITEMS: usize = 10_000;

/// Returns the default of a kind; `None` where the field is required.
pub fn default(kind: Kind) -> Option<Value> {
    match kind {
        Kind::Name | Kind::Addr | Kind::Map(true) => None,
        Kind::Choice(_, word) => Some(Value::Text(word.to_owned())),
        Kind::Addrs | Kind::OptionalAddr | Kind::OptionalIp => Some(Value::Addrs(Vec::new())),
        Kind::Names("") => Some(Value::Names(Vec::new())),
        Kind::Names(name) => Some(Value::Names(vec![name.to_owned()])),
        Kind::Map(false) => Some(Value::Pairs(Vec::new())),
        Kind::Duration(d, ..) => parse_duration(d).ok().map(Value::Duration),
        Kind::Bytes(n, ..) => parse_bytes(n).ok().map(Value::Number),
        Kind::Count(n, ..) => Some(Value::Number(n)),
        Kind::Ratio(x, ..) => Some(Value::Ratio(x)),
        Kind::Flag(b) => Some(Value::Flag(b)),
    }
}

/// Parses a node as the kind. The error says what to write instead.
pub fn read(kind: Kind, node: &MarkedYaml) -> Result<Value, String> {
    match kind {
        Kind::Name => read_name(node).map(Value::Text),
        Kind::Choice(words, _) => read_choice(node, words),
        Kind::OptionalIp => read_ip(node).map(|addr| Value::Addrs(vec![addr])),
        Kind::Addr | Kind::OptionalAddr => read_addr(node).map(|addr| Value::Addrs(vec![addr])),
        Kind::Addrs => items(node)?
            .iter()
            .map(read_addr)
            .collect::<Result<_, _>>()
            .map(Value::Addrs),
        Kind::Names(_) => items(node)?
            .iter()
            .map(read_name)
            .collect::<Result<_, _>>()
            .map(Value::Names),
        Kind::Map(_) => read_pairs(node),
        Kind::Duration(_, min, max) => read_duration(node, min, max),
        Kind::Bytes(_, min, max) => read_bytes(node, min, max),
        Kind::Count(_, min, max) => read_count(node, min, max),
        Kind::Ratio(_, min, max) => read_ratio(node, min, max),
        Kind::Flag(_) => match scalar(node).as_deref() {
            Some("true") => Ok(Value::Flag(true)),
            Some("false") => Ok(Value::Flag(false)),
            _ => Err("write true or false".into()),
        },
    }
}

/// Returns the text of a scalar; `None` for lists and maps.
pub fn scalar(node: &MarkedYaml) -> Option<String> {
    match &node.data {
        YamlData::Value(Scalar::String(s)) => Some(s.to_string()),
        YamlData::Value(Scalar::Integer(n)) => Some(n.to_string()),
        YamlData::Value(Scalar::Boolean(b)) => Some(b.to_string()),
        YamlData::Value(Scalar::FloatingPoint(x)) => Some(x.to_string()),
        YamlData::Representation(s, ..) => Some(s.to_string()),
        _ => None,
    }
}

fn items<'a, 'i>(node: &'a MarkedYaml<'i>) -> Result<&'a [MarkedYaml<'i>], String> {
    match &node.data {
        YamlData::Sequence(list) if list.len() <= MAX_ITEMS => Ok(list),
        YamlData::Sequence(list) => Err(format!(
            "the list has {} items; keep at most {MAX_ITEMS}",
            list.len()
        )),
        _ => Err("write a list, as [a, b]".into()),
    }
}

fn read_name(node: &MarkedYaml) -> Result<String, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.*".contains(c);
    match scalar(node) {
        Some(s) if !s.is_empty() && s.len() <= 64 && s.chars().all(is_allowed) => Ok(s),
        _ => Err("write a name of 1 to 64 letters, digits, '-', '_' and '.'".into()),
    }
}

fn read_choice(node: &MarkedYaml, words: &[&str]) -> Result<Value, String> {
    match scalar(node) {
        Some(s) if words.contains(&s.as_str()) => Ok(Value::Text(s)),
        Some(s) => {
            let hint = base::nearest::hint(&s, words.iter().copied());
            Err(format!("{s:?} is not one of {}{hint}", words.join(", ")))
        }
        None => Err(format!("write one of {}", words.join(", "))),
    }
}

fn read_addr(node: &MarkedYaml) -> Result<SocketAddr, String> {
    let s = scalar(node).ok_or("write an IP number and port, as 127.0.0.1:8080")?;
    s.parse()
        .map_err(|_| format!("{s:?} is not an IP number and port; write it as 127.0.0.1:8080"))
}

/// Parses an IP number into an address with port 0.
fn read_ip(node: &MarkedYaml) -> Result<SocketAddr, String> {
    let s = scalar(node).ok_or("write an IP number, as 127.0.0.1")?;
    s.parse()
        .map(|ip| SocketAddr::new(ip, 0))
        .map_err(|_| format!("{s:?} is not an IP number; write it as 127.0.0.1"))
}

fn read_pairs(node: &MarkedYaml) -> Result<Value, String> {
    let remedy = "write a map of names, as {recife: nordeste}";
    let YamlData::Mapping(map) = &node.data else {
        return Err(remedy.into());
    };
    if map.is_empty() || map.len() > MAX_ITEMS {
        return Err(format!("{remedy}, of 1 to {MAX_ITEMS} names"));
    }
    map.iter()
        .map(|(k, v)| Ok((read_name(k)?, read_name(v)?)))
        .collect::<Result<_, String>>()
        .map(Value::Pairs)
}

fn read_duration(node: &MarkedYaml, min: &str, max: &str) -> Result<Value, String> {
    let s = scalar(node).ok_or_else(|| format!("write a duration from {min} to {max}"))?;
    let d = parse_duration(&s).map_err(|e| e.to_string())?;
    let in_range =
        parse_duration(min).is_ok_and(|l| d >= l) && parse_duration(max).is_ok_and(|m| d <= m);
    match in_range {
        true => Ok(Value::Duration(d)),
        false => Err(format!(
            "{} is out of range; write {min} to {max}",
            format_duration(d)
        )),
    }
}

fn read_bytes(node: &MarkedYaml, min: &str, max: &str) -> Result<Value, String> {
    let s = scalar(node).ok_or_else(|| format!("write a size from {min} to {max}"))?;
    let n = parse_bytes(&s).map_err(|e| e.to_string())?;
    let in_range = parse_bytes(min).is_ok_and(|l| n >= l) && parse_bytes(max).is_ok_and(|m| n <= m);
    match in_range {
        true => Ok(Value::Number(n)),
        false => Err(format!(
            "{} is out of range; write {min} to {max}",
            format_bytes(n)
        )),
    }
}

fn read_count(node: &MarkedYaml, min: u64, max: u64) -> Result<Value, String> {
    match scalar(node).and_then(|s| s.parse::<u64>().ok()) {
        Some(n) if (min..=max).contains(&n) => Ok(Value::Number(n)),
        Some(n) => Err(format!("{n} is out of range; write {min} to {max}")),
        None => Err(format!("write a whole number from {min} to {max}")),
    }
}

fn read_ratio(node: &MarkedYaml, min: f64, max: f64) -> Result<Value, String> {
    match scalar(node).and_then(|s| s.parse::<f64>().ok()) {
        Some(x) if (min..=max).contains(&x) => Ok(Value::Ratio(x)),
        Some(x) => Err(format!("{x} is out of range; write {min} to {max}")),
        None => Err(format!("write a fraction from {min} to {max}")),
    }
}
