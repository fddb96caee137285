//! Parsing and formatting of the table as CSV.

use base::{Domains, Map, Place};

use crate::row::{SERVE, SERVICE};
use crate::{Fault, Hold, Limits, Row, Table, Version};

/// Columns, in order.
pub const COLUMNS: [&str; 7] = [
    "model", "version", "places", "share", "limits", "priority", "hold",
];

/// Highest priority.
pub const MAX_PRIORITY: u8 = 9;

/// Maximum number of rows.
pub const MAX_ROWS: usize = 100_000;

/// Maximum length of the name of a model.
const MAX_NAME_LEN: usize = 64;

/// A row and its line in the file.
struct NumberedRow {
    line: usize,
    row: Row,
}

impl Table {
    /// Parses a table; the error lists all faults.
    pub fn parse(csv: &str, domains: &Domains) -> Result<Table, Vec<Fault>> {
        let mut faults = Vec::new();
        let rows = parse_rows(csv, domains, &mut faults);
        check_duplicates(&rows, domains, &mut faults);
        check_shares(&rows, domains, &mut faults);
        if !faults.is_empty() {
            faults.sort_by_key(|fault| fault.line);
            return Err(faults);
        }
        Ok(Table {
            rows: rows.into_iter().map(|numbered| numbered.row).collect(),
        })
    }

    /// Formats the table as CSV, in canonical form.
    pub fn to_csv(&self) -> String {
        let mut w = csv::Writer::from_writer(Vec::new());
        w.write_record(COLUMNS)
            .expect("writes to memory do not fail");
        for row in &self.rows {
            w.write_record([
                row.model.clone(),
                row.version.to_string(),
                row.places_text(),
                row.share.to_string(),
                row.limits.to_string(),
                row.priority.to_string(),
                row.hold.to_string(),
            ])
            .expect("writes to memory do not fail");
        }
        let buf = w.into_inner().expect("writes to memory do not fail");
        String::from_utf8(buf).expect("all cells are UTF-8")
    }
}

fn parse_rows(text: &str, domains: &Domains, faults: &mut Vec<Fault>) -> Vec<NumberedRow> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .comment(Some(b'#'))
        .flexible(true)
        .from_reader(text.as_bytes());
    match reader.headers() {
        Ok(h) if h.iter().eq(COLUMNS) => {}
        Ok(_) | Err(_) => {
            let columns = COLUMNS.join(",");
            faults.push(Fault::new(
                1,
                "columns",
                format!("write the first line as {columns}"),
            ));
            return Vec::new();
        }
    }
    let mut rows = Vec::new();
    for record in reader.records() {
        match record {
            Ok(_) if rows.len() == MAX_ROWS => {
                let remedy = format!("keep at most {MAX_ROWS} rows");
                faults.push(Fault::new(0, "rows", remedy));
                break;
            }
            Ok(record) => rows.extend(parse_row(&record, domains, faults)),
            Err(e) => {
                let line = e.position().map_or(0, |p| p.line() as usize);
                faults.push(Fault::new(
                    line,
                    "row",
                    format!("{e}; write plain UTF-8 CSV"),
                ));
            }
        }
    }
    rows
}

fn parse_row(
    record: &csv::StringRecord,
    domains: &Domains,
    faults: &mut Vec<Fault>,
) -> Option<NumberedRow> {
    let line = record.position().map_or(0, |p| p.line() as usize);
    if record.len() != COLUMNS.len() {
        let remedy = format!(
            "the row has {} cells; write {}",
            record.len(),
            COLUMNS.len()
        );
        faults.push(Fault::new(line, "row", remedy));
        return None;
    }
    let faults_before = faults.len();
    let mut check_cell = |i: usize, parse: &dyn Fn(&str) -> Result<(), String>| {
        if let Err(remedy) = parse(&record[i]) {
            faults.push(Fault::new(line, COLUMNS[i], remedy));
        }
    };
    check_cell(0, &|s| parse_model(s).map(drop));
    check_cell(1, &|s| parse_version(s).map(drop));
    check_cell(2, &|s| parse_places(s, domains).map(drop));
    check_cell(3, &|s| parse_share(s).map(drop));
    check_cell(4, &|s| Limits::parse(s).map(drop));
    check_cell(5, &|s| parse_priority(s).map(drop));
    check_cell(6, &|s| parse_hold(s).map(drop));
    if faults.len() > faults_before {
        return None;
    }
    Some(NumberedRow {
        line,
        row: Row {
            model: parse_model(&record[0]).ok()?,
            version: parse_version(&record[1]).ok()?,
            places: parse_places(&record[2], domains).ok()?,
            share: parse_share(&record[3]).ok()?,
            limits: Limits::parse(&record[4]).ok()?,
            priority: parse_priority(&record[5]).ok()?,
            hold: parse_hold(&record[6]).ok()?,
        },
    })
}

fn parse_model(s: &str) -> Result<String, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if s.is_empty() || s.len() > MAX_NAME_LEN || !s.chars().all(is_allowed) {
        return Err(format!(
            "{s:?} is no name; use 1 to {MAX_NAME_LEN} letters, digits, '-', '_' and '.'"
        ));
    }
    Ok(s.to_owned())
}

fn parse_version(s: &str) -> Result<Version, String> {
    Version::parse(s).ok_or_else(|| {
        format!("{s:?} is no version; give the digest `driftnotch publish` prints, or {SERVICE}")
    })
}

fn parse_places(s: &str, domains: &Domains) -> Result<Vec<Place>, String> {
    let places: Vec<Place> = s
        .split(';')
        .map(str::trim)
        .filter(|p| !p.is_empty())
        .map(Place::parse)
        .collect();
    if places.is_empty() {
        return Err("no place can serve the row; name at least one, joined by ';'".into());
    }
    let unknown = places.iter().find(|place| !domains.contains_place(place));
    if let Some(place) = unknown {
        let known: Vec<&str> = domains.names().map(String::as_str).collect();
        let hint = base::nearest::hint(&place.to_string(), known.iter().copied());
        return Err(format!(
            "there is no place {place}{hint}; known are {}",
            known.join(", ")
        ));
    }
    Ok(places)
}

fn parse_share(s: &str) -> Result<u32, String> {
    match s.parse() {
        Ok(share) if share <= 100 => Ok(share),
        _ => Err(format!(
            "{s:?} is no share; write a percentage from 0 to 100"
        )),
    }
}

fn parse_priority(s: &str) -> Result<u8, String> {
    match s.parse() {
        Ok(priority) if priority <= MAX_PRIORITY => Ok(priority),
        _ => Err(format!(
            "{s:?} is no priority; write 0 (lowest) to {MAX_PRIORITY}"
        )),
    }
}

fn parse_hold(s: &str) -> Result<Hold, String> {
    match s {
        SERVE => Ok(Hold::Serve),
        _ => base::units::parse_duration(s)
            .map(Hold::For)
            .map_err(|e| format!("{e}, or {SERVE}")),
    }
}

fn check_duplicates(rows: &[NumberedRow], domains: &Domains, faults: &mut Vec<Fault>) {
    let mut seen: Map<(&str, &Version, &str), usize> = Map::default();
    for NumberedRow { line, row } in rows {
        let permitted = domains.names().filter(|name| row.permits(name, domains));
        for domain in permitted {
            let first_line = *seen
                .entry((&row.model, &row.version, domain))
                .or_insert(*line);
            if first_line != *line {
                let name = row.name();
                let remedy = format!(
                    "{name} is already permitted in {domain} by line {first_line}; keep one row"
                );
                faults.push(Fault::new(*line, "model", remedy));
                break;
            }
        }
    }
}

fn check_shares(rows: &[NumberedRow], domains: &Domains, faults: &mut Vec<Fault>) {
    let mut sums: Map<(&str, &str), (u32, usize)> = Map::default();
    for NumberedRow { line, row } in rows {
        let permitted = domains.names().filter(|name| row.permits(name, domains));
        for domain in permitted {
            let sum = sums.entry((&row.model, domain)).or_default();
            sum.0 += row.share;
            sum.1 = *line;
        }
    }
    let mut wrong_sums: Vec<_> = sums
        .into_iter()
        .filter(|(_, (sum, _))| *sum != 100)
        .collect();
    wrong_sums.sort_unstable();
    for ((model, domain), (sum, line)) in wrong_sums {
        let remedy =
            format!("the shares of {model} in {domain} add up to {sum}; make them add up to 100");
        faults.push(Fault::new(line, "share", remedy));
    }
}
