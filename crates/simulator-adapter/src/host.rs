//! Handles batches of lines: passes their events to the instances, and returns the replies.

use std::collections::BTreeMap;

use crate::endpoint_list::{update_event, ListKind, ListedEndpoint};
use crate::error::{InputError, LineError};
use crate::incoming::{BatchStart, Catalog, EndpointListLine, IncomingLine};
use crate::instances::Instances;

/// The state of the adapter: its instances, the catalogs, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    instances: Instances,
    /// The endpoints of each catalog, by the catalog's number.
    catalogs: BTreeMap<u64, Vec<ListedEndpoint>>,
    /// The start of the batch that is being read; `None` between batches.
    batch: Option<BatchStart>,
    /// Number of the last line that was read.
    lines_read: usize,
}

impl Host {
    /// Handles one line, given with its number, counted from 1, and without its line break. Returns the reply
    /// if the line ends a batch.
    pub fn handle_line(&mut self, number: usize, line: &[u8]) -> Result<Option<String>, InputError> {
        self.lines_read = number;
        let handled =
            serde_json::from_slice(line).map_err(LineError::from).and_then(|line| self.handle(line));
        handled.map_err(|reason| InputError { line: number, reason })
    }

    /// Checks, at the end of the input, that the last batch has ended.
    pub fn finish(&self) -> Result<(), InputError> {
        match self.batch {
            None => Ok(()),
            Some(_) => Err(InputError { line: self.lines_read, reason: LineError::EndInsideBatch }),
        }
    }

    fn handle(&mut self, line: IncomingLine) -> Result<Option<String>, LineError> {
        if self.batch.is_none() && !matches!(line, IncomingLine::BatchStart(_)) {
            return Err(LineError::OutsideBatch);
        }
        let instances = &mut self.instances;
        match line {
            IncomingLine::BatchStart(start) => self.start_batch(start)?,
            IncomingLine::BatchEnd => return Ok(self.end_batch()),
            IncomingLine::Attach(start) => instances.attach(&start)?,
            IncomingLine::Detach(end) => instances.detach(end.instance)?,
            IncomingLine::Catalog(catalog) => self.store_catalog(catalog),
            IncomingLine::EndpointList(list) => self.update_endpoints(&list)?,
            IncomingLine::Message(line) => instances.get_mut(line.instance)?.submit(*line)?,
            IncomingLine::ResponseStarted(line) => instances.get_mut(line.instance)?.push(line.into_event()),
            IncomingLine::AttemptEnded(line) => instances.get_mut(line.instance)?.push(line.into_event()),
            IncomingLine::Withdrawn(line) => instances.get_mut(line.instance)?.push(line.into_event()),
            IncomingLine::TimerFired(line) => instances.get_mut(line.instance)?.push(line.into_event()),
            IncomingLine::ProbeEnded(line) => instances.get_mut(line.instance)?.push(line.into_event()),
            IncomingLine::Note(line) => instances.get_mut(line.instance)?.push(line.into_event()?),
        }
        Ok(None)
    }

    fn start_batch(&mut self, start: BatchStart) -> Result<(), LineError> {
        if self.batch.is_some() {
            return Err(LineError::BatchInsideBatch);
        }
        self.batch = Some(start);
        Ok(())
    }

    fn end_batch(&mut self) -> Option<String> {
        let batch = self.batch.take()?;
        Some(self.instances.reply(batch.time(), batch.round))
    }

    fn store_catalog(&mut self, catalog: Catalog) {
        self.catalogs.insert(catalog.number, catalog.endpoints);
    }

    fn update_endpoints(&mut self, list: &EndpointListLine) -> Result<(), LineError> {
        let instance = self.instances.get_mut(list.instance)?;
        let endpoints: &[ListedEndpoint] = match list.kind {
            ListKind::Failed => &[],
            ListKind::Delta | ListKind::Snapshot | ListKind::Cached => {
                let number = list.catalog.ok_or(LineError::NoCatalog)?;
                self.catalogs.get(&number).ok_or(LineError::UnknownCatalog(number))?
            }
        };
        let event = update_event(list.kind, list.version, endpoints, instance.names());
        instance.push(event);
        Ok(())
    }
}
