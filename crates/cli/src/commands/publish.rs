//! `driftnotch publish`: uploads weights to the origin and their manifest to the object store.

use std::fs::File;
use std::io::{BufReader, Read};
use std::path::Path;
use std::time::Duration;

use base::Digest;
use serde::Serialize;
use store::{Kv, Objects, Origin};
use web::DialOptions;
use weights::Manifest;

use super::operator;
use crate::error::Error;
use crate::options::PublishOptions;
use crate::output;

/// Timeout for the upload of one chunk.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Serialize)]
struct Published {
    version: Digest,
    bytes: u64,
    chunks: usize,
}

/// Uploads weights and prints their version.
pub fn run(options: &PublishOptions) -> Result<(), Error> {
    let cfg = operator::load(&options.settings)?;
    let manifest =
        Manifest::from_reader(open(&options.file)?, options.chunk_bytes).map_err(Error::Weights)?;
    let version = manifest.digest();
    let kv = Kv::new(cfg.platform.objects, cfg.platform.dial_options());
    let origin = cfg.platform.origin.ok_or_else(|| {
        Error::Usage("the origin is missing in the settings; add `platform_origin`".into())
    })?;
    let origin = Origin::new(origin, DialOptions::with_timeout(CHUNK_TIMEOUT));
    operator::runtime()?.block_on(async {
        upload_chunks(&origin, &manifest, open(&options.file)?, &options.file).await?;
        // The manifest is written last: once it can be read, all chunks are at the origin.
        Objects::new(kv).publish(&manifest).await?;
        Ok::<_, Error>(())
    })?;
    let published = Published {
        version,
        bytes: manifest.bytes,
        chunks: manifest.chunks.len(),
    };
    match options.json {
        true => output::json(&published),
        false => output::line(version.to_string()),
    }
}

/// Uploads all chunks of a file. Fails if the file no longer matches the manifest.
async fn upload_chunks(
    origin: &Origin,
    manifest: &Manifest,
    mut src: impl Read,
    path: &Path,
) -> Result<(), Error> {
    let version = manifest.digest();
    for (i, chunk) in manifest.chunks.iter().enumerate() {
        let (first, end) = manifest.range(i);
        let mut buf = vec![0; (end - first) as usize];
        src.read_exact(&mut buf)
            .map_err(|e| Error::File(path.to_owned(), e))?;
        if Digest::of(&buf) != *chunk {
            let changed = std::io::Error::other("the file changed during the upload");
            return Err(Error::File(path.to_owned(), changed));
        }
        origin.publish(version, first, buf.into()).await?;
    }
    Ok(())
}

fn open(path: &Path) -> Result<BufReader<File>, Error> {
    File::open(path)
        .map(BufReader::new)
        .map_err(|e| Error::File(path.to_owned(), e))
}
