//! Tables.

const COLUMN_GAP: &str = "  ";

/// A table with left-aligned columns.
#[derive(Debug, Clone)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these headings.
    pub fn new<const N: usize>(headings: [&str; N]) -> Self {
        Self {
            rows: vec![headings.map(str::to_owned).to_vec()],
        }
    }

    /// Adds a row; empty cells are shown as `-`.
    pub fn add<const N: usize>(&mut self, cells: [String; N]) {
        let shown = cells.map(|cell| {
            if cell.is_empty() {
                "-".to_owned()
            } else {
                cell
            }
        });
        self.rows.push(shown.to_vec());
    }

    /// The lines, without space at their ends.
    pub fn lines(&self) -> Vec<String> {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            let widths = self.rows.iter().map(|row| row[column].chars().count());
            widths.max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let lines = self.rows.iter().map(|row| {
            let cells = row.iter().zip(&widths);
            let cells: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            cells.join(COLUMN_GAP).trim_end().to_owned()
        });
        lines.collect()
    }
}
