//! Lays chunks out at the engine and reads them back.

use log::info;

use crate::Cx;
use crate::api::{ApiError, Staged};
use crate::sets::Set;

/// Log prefix of this part.
const PART: &str = "stage";

/// Reads what lies at the engine and keeps what belongs to the set; returns how many chunks did.
pub(crate) async fn read_back(cx: &Cx, set: &Set) -> Result<usize, ApiError> {
    let mut found = 0;
    for i in (0..set.len()).filter(|i| set.get(*i).is_none()) {
        if let Some(buf) = (cx.api.get)((set.model.clone(), i)).await? {
            found += usize::from(set.put(i, buf));
        }
    }
    Ok(found)
}

/// Lays out the chunks of a whole set that don't lie at the engine as they should. What lies there
/// may have turned bad since, and the engine doesn't check it.
pub(crate) async fn lay_out(cx: &Cx, set: &Set) -> Result<(), ApiError> {
    let mut replaced = 0;
    for i in 0..set.len() {
        let lies = (cx.api.get)((set.model.clone(), i)).await?;
        if lies.is_some_and(|buf| set.is_chunk(i, &buf)) {
            continue;
        }
        let buf = set
            .get(i)
            .ok_or_else(|| ApiError(format!("chunk {i} is missing")))?;
        let staged = Staged {
            model: set.model.clone(),
            chunk: i,
            buf,
        };
        (cx.api.put)(staged).await?;
        replaced += 1;
    }
    info!(target: PART, "{PART}: event=laid_out model={} version={} replaced={replaced}", set.model, set.version);
    Ok(())
}
