//! Reads the table from CSV and writes it back.

use base::{Domains, Map, Place};

use crate::row::{SERVE, SERVICE};
use crate::{Fault, Hold, Limits, Row, Table, Version};

/// Columns, in the order they are written.
pub const COLUMNS: [&str; 7] = [
    "model", "version", "places", "share", "limits", "priority", "hold",
];

/// Highest priority.
pub const MAX_PRIORITY: u8 = 9;

/// Most rows a table may have.
pub const MAX_ROWS: usize = 100_000;

/// Longest name of a model.
const MAX_NAME: usize = 64;

/// A row with the line it was read from.
struct Lined {
    line: usize,
    row: Row,
}

impl Table {
    /// Reads a table; on failure, lists every fault.
    pub fn parse(csv: &str, domains: &Domains) -> Result<Table, Vec<Fault>> {
        let mut faults = Vec::new();
        let lined = read_rows(csv, domains, &mut faults);
        check_duplicates(&lined, domains, &mut faults);
        check_shares(&lined, domains, &mut faults);
        if !faults.is_empty() {
            faults.sort_by_key(|fault| fault.line);
            return Err(faults);
        }
        Ok(Table {
            rows: lined.into_iter().map(|l| l.row).collect(),
        })
    }

    /// The table as CSV, in the canonical form.
    pub fn to_csv(&self) -> String {
        let mut w = csv::Writer::from_writer(Vec::new());
        w.write_record(COLUMNS).expect("writing to memory");
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
            .expect("writing to memory");
        }
        let buf = w.into_inner().expect("writing to memory");
        String::from_utf8(buf).expect("all cells are text")
    }
}

fn read_rows(text: &str, domains: &Domains, faults: &mut Vec<Fault>) -> Vec<Lined> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .comment(Some(b'#'))
        .flexible(true)
        .from_reader(text.as_bytes());
    match reader.headers() {
        Ok(h) if h.iter().eq(COLUMNS) => {}
        Ok(_) | Err(_) => {
            let wanted = COLUMNS.join(",");
            faults.push(Fault::new(
                1,
                "columns",
                format!("write the first line as {wanted}"),
            ));
            return Vec::new();
        }
    }
    let mut lined = Vec::new();
    for record in reader.records() {
        match record {
            Ok(_) if lined.len() == MAX_ROWS => {
                let remedy = format!("keep at most {MAX_ROWS} rows");
                faults.push(Fault::new(0, "rows", remedy));
                break;
            }
            Ok(record) => lined.extend(read_row(&record, domains, faults)),
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
    lined
}

fn read_row(
    record: &csv::StringRecord,
    domains: &Domains,
    faults: &mut Vec<Fault>,
) -> Option<Lined> {
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
    let before = faults.len();
    let mut cell = |i: usize, read: &dyn Fn(&str) -> Result<(), String>| {
        if let Err(remedy) = read(&record[i]) {
            faults.push(Fault::new(line, COLUMNS[i], remedy));
        }
    };
    cell(0, &|s| read_model(s).map(drop));
    cell(1, &|s| read_version(s).map(drop));
    cell(2, &|s| read_places(s, domains).map(drop));
    cell(3, &|s| read_share(s).map(drop));
    cell(4, &|s| Limits::parse(s).map(drop));
    cell(5, &|s| read_priority(s).map(drop));
    cell(6, &|s| read_hold(s).map(drop));
    if faults.len() > before {
        return None;
    }
    Some(Lined {
        line,
        row: Row {
            model: read_model(&record[0]).ok()?,
            version: read_version(&record[1]).ok()?,
            places: read_places(&record[2], domains).ok()?,
            share: read_share(&record[3]).ok()?,
            limits: Limits::parse(&record[4]).ok()?,
            priority: read_priority(&record[5]).ok()?,
            hold: read_hold(&record[6]).ok()?,
        },
    })
}

fn read_model(s: &str) -> Result<String, String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if s.is_empty() || s.len() > MAX_NAME || !s.chars().all(plain) {
        return Err(format!(
            "{s:?} is no name; use 1 to {MAX_NAME} letters, digits, '-', '_' and '.'"
        ));
    }
    Ok(s.to_owned())
}

fn read_version(s: &str) -> Result<Version, String> {
    Version::parse(s).ok_or_else(|| {
        format!("{s:?} is no version; give the digest `driftnotch publish` prints, or {SERVICE}")
    })
}

fn read_places(s: &str, domains: &Domains) -> Result<Vec<Place>, String> {
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

fn read_share(s: &str) -> Result<u32, String> {
    match s.parse() {
        Ok(share) if share <= 100 => Ok(share),
        _ => Err(format!(
            "{s:?} is no share; write a percentage from 0 to 100"
        )),
    }
}

fn read_priority(s: &str) -> Result<u8, String> {
    match s.parse() {
        Ok(priority) if priority <= MAX_PRIORITY => Ok(priority),
        _ => Err(format!(
            "{s:?} is no priority; write 0 (lowest) to {MAX_PRIORITY}"
        )),
    }
}

fn read_hold(s: &str) -> Result<Hold, String> {
    match s {
        SERVE => Ok(Hold::Serve),
        _ => base::units::parse_duration(s)
            .map(Hold::For)
            .map_err(|e| format!("{e}, or {SERVE}")),
    }
}

fn check_duplicates(lined: &[Lined], domains: &Domains, faults: &mut Vec<Fault>) {
    let mut seen: Map<(&str, &Version, &str), usize> = Map::default();
    for Lined { line, row } in lined {
        let permitted = domains.names().filter(|name| row.permits(name, domains));
        for domain in permitted {
            let first = *seen
                .entry((&row.model, &row.version, domain))
                .or_insert(*line);
            if first != *line {
                let name = row.name();
                let remedy = format!(
                    "{name} is already permitted in {domain} by line {first}; keep one row"
                );
                faults.push(Fault::new(*line, "model", remedy));
                break;
            }
        }
    }
}

fn check_shares(lined: &[Lined], domains: &Domains, faults: &mut Vec<Fault>) {
    let mut sums: Map<(&str, &str), (u32, usize)> = Map::default();
    for Lined { line, row } in lined {
        let permitted = domains.names().filter(|name| row.permits(name, domains));
        for domain in permitted {
            let sum = sums.entry((&row.model, domain)).or_default();
            sum.0 += row.share;
            sum.1 = *line;
        }
    }
    let mut off: Vec<_> = sums
        .into_iter()
        .filter(|(_, (sum, _))| *sum != 100)
        .collect();
    off.sort_unstable();
    for ((model, domain), (sum, line)) in off {
        let remedy =
            format!("the shares of {model} in {domain} add up to {sum}; make them add up to 100");
        faults.push(Fault::new(line, "share", remedy));
    }
}
