//! Writes a report to a folder.

use std::path::{Path, PathBuf};

use super::{Report, Table, plot};
use crate::{Error, Result};

impl Report {
    /// Writes each table as a CSV file and the plot as an SVG file. Returns the paths written.
    ///
    /// # Errors
    ///
    /// Returns an error for the first file or folder that could not be written.
    pub fn write_to(&self, folder: &Path) -> Result<Vec<PathBuf>> {
        std::fs::create_dir_all(folder).map_err(|error| Error::Write {
            path: folder.to_owned(),
            error,
        })?;
        let stem = format!("{}-{}", self.name, self.seed);
        let mut paths = Vec::new();
        for (index, table) in self.tables.iter().enumerate() {
            let path = folder.join(format!("{stem}-{index}.csv"));
            write_table(&path, table)?;
            paths.push(path);
        }
        if !self.checks.is_empty() {
            let path = folder.join(format!("{stem}-targets.csv"));
            write_table(&path, &self.check_table())?;
            paths.push(path);
        }
        if let Some(line_plot) = &self.plot {
            let path = folder.join(format!("{stem}.svg"));
            plot::draw(line_plot, &path).map_err(|error| Error::Plot(error.to_string()))?;
            paths.push(path);
        }
        Ok(paths)
    }
}

fn write_table(path: &Path, table: &Table) -> Result<()> {
    let mut writer = csv::Writer::from_path(path)?;
    writer.write_record(&table.columns)?;
    for row in &table.rows {
        writer.write_record(row)?;
    }
    writer.flush().map_err(|error| Error::Write {
        path: path.to_owned(),
        error,
    })
}
