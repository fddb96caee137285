//! Parses samples of the Prometheus text format, version 0.0.4. Comments, types and timestamps are skipped.

use displaydoc::Display;

/// A sample of a metric.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Name of the metric.
    pub name: String,
    /// Labels, names with values, in the order of the text.
    pub labels: Vec<(String, String)>,
    /// Value; may be infinite or not a number.
    pub value: f64,
}

impl Sample {
    /// Returns the value of a label.
    pub fn label(&self, name: &str) -> Option<&str> {
        let label = self.labels.iter().find(|(n, _)| n == name);
        label.map(|(_, value)| value.as_str())
    }
}

/// line {line} is not in the Prometheus text format: {what}
#[derive(Debug, Display, PartialEq)]
pub struct Fault {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong.
    pub what: &'static str,
}

/// Parses all samples of a text.
pub fn parse(text: &str) -> Result<Vec<Sample>, Fault> {
    text.lines()
        .enumerate()
        .map(|(i, line)| (i + 1, line.trim()))
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
        .map(|(i, line)| sample(line).map_err(|what| Fault { line: i, what }))
        .collect()
}

fn sample(line: &str) -> Result<Sample, &'static str> {
    let (name, rest) = name(line).ok_or("the name of a metric is missing")?;
    let (labels, rest) = match rest.trim_start().strip_prefix('{') {
        Some(rest) => labels(rest)?,
        None => (Vec::new(), rest),
    };
    let mut fields = rest.split_whitespace();
    let value = fields.next().ok_or("the value is missing")?;
    let value = value.parse().map_err(|_| "the value is not a number")?;
    let timestamp = fields.next().map(str::parse::<i64>);
    match (timestamp, fields.next()) {
        (None | Some(Ok(_)), None) => Ok(Sample {
            name: name.to_owned(),
            labels,
            value,
        }),
        _ => Err("only a timestamp may follow the value"),
    }
}

/// Splits a name off.
fn name(text: &str) -> Option<(&str, &str)> {
    let valid = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == ':';
    let end = text.find(|c| !valid(c)).unwrap_or(text.len());
    let begins_valid = text.starts_with(|c: char| valid(c) && !c.is_ascii_digit());
    begins_valid.then(|| text.split_at(end))
}

/// Labels, with the text that follows them.
type Labels<'a> = (Vec<(String, String)>, &'a str);

/// Splits off labels up to the closing brace.
fn labels(mut text: &str) -> Result<Labels<'_>, &'static str> {
    let mut labels = Vec::new();
    loop {
        text = text.trim_start();
        if let Some(rest) = text.strip_prefix('}') {
            return Ok((labels, rest));
        }
        let (label, rest) = name(text).ok_or("the name of a label is missing")?;
        let quoted = rest.trim_start().strip_prefix('=').map(str::trim_start);
        let quoted = quoted.and_then(|rest| rest.strip_prefix('"'));
        let (value, rest) = label_value(quoted.ok_or("the value of a label is missing")?)?;
        labels.push((label.to_owned(), value));
        let rest = rest.trim_start();
        text = match rest.strip_prefix(',') {
            Some(rest) => rest,
            None if rest.starts_with('}') => rest,
            None => return Err("a comma or a closing brace is missing after a label"),
        };
    }
}

/// Splits off the value of a label up to the closing quote, with its escapes replaced.
fn label_value(text: &str) -> Result<(String, &str), &'static str> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((i, c)) = chars.next() {
        match c {
            '"' => return Ok((value, &text[i + 1..])),
            '\\' => value.push(match chars.next() {
                Some((_, 'n')) => '\n',
                Some((_, escaped @ ('\\' | '"'))) => escaped,
                _ => return Err("the value of a label has an unknown escape"),
            }),
            c => value.push(c),
        }
    }
    Err("the closing quote of a label's value is missing")
}
