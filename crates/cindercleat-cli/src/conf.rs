//! The line-based form of settings and day scripts: `keyword value …`, `#` to the end of a line for comments,
//! and blocks that a keyword opens and `end` closes.
//!
//! ```text
//! listen 127.0.0.1:7400
//! request class caption-draft
//!     latency objective 1s plus 40ms
//! end
//! ```
//!
//! A [`Section`] remembers which keywords it was asked for: what is left over is an error that names them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::str::FromStr;

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: expected {expected}, found {found}")]
pub struct Problem {
    pub file: String,
    pub line: usize,
    pub expected: String,
    pub found: String,
}

/// One line: a keyword and its values.
#[derive(Clone, Debug)]
pub struct Line {
    file: String,
    pub number: usize,
    pub words: Vec<String>,
    used: Cell<bool>,
}

/// A file, or a block of it.
#[derive(Clone, Debug)]
pub struct Section {
    /// The line that opens it; a file's has the number 0.
    pub head: Line,
    lines: Vec<Line>,
    blocks: Vec<Section>,
    asked: RefCell<BTreeSet<&'static str>>,
}

impl Section {
    /// `opens`: the keywords that open a block.
    ///
    /// # Errors
    /// A block that is not closed, or an `end` too many.
    pub fn parse(file: &str, text: &str, opens: &[&str]) -> Result<Section, Problem> {
        let line = |number: usize, words: Vec<String>| Line {
            file: file.to_owned(),
            number,
            words,
            used: Cell::new(false),
        };
        let mut open = vec![Section::new(line(0, vec!["the file".to_owned()]))];
        for (at, text) in text.lines().enumerate() {
            let text = text.split('#').next().unwrap_or("");
            let words: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
            let line = line(at + 1, words);
            let Some(keyword) = line.words.first() else {
                continue;
            };
            let depth = open.len();
            if keyword == "end" {
                let (Some(block), true) = (open.pop(), depth > 1) else {
                    return Err(line.wrong("a keyword (no block is open)"));
                };
                if let Some(outer) = open.last_mut() {
                    outer.blocks.push(block);
                }
            } else if opens.contains(&keyword.as_str()) {
                open.push(Section::new(line));
            } else if let Some(here) = open.last_mut() {
                here.lines.push(line);
            }
        }
        match (open.pop(), open.is_empty()) {
            (Some(whole), true) => Ok(whole),
            (Some(block), false) => {
                let Line {
                    file,
                    number,
                    words,
                    ..
                } = block.head;
                let expected = format!("'end' of the block '{}'", words.join(" "));
                Err(Problem {
                    file,
                    line: number,
                    expected,
                    found: "the end of the file".to_owned(),
                })
            }
            (None, _) => Ok(Section::new(line(0, Vec::new()))),
        }
    }

    fn new(head: Line) -> Self {
        Section {
            head,
            lines: Vec::new(),
            blocks: Vec::new(),
            asked: RefCell::default(),
        }
    }

    /// All lines of a keyword.
    pub fn all(&self, keyword: &'static str) -> Vec<&Line> {
        self.asked.borrow_mut().insert(keyword);
        let found: Vec<&Line> = self
            .lines
            .iter()
            .filter(|l| l.words[0] == keyword)
            .collect();
        found.iter().for_each(|l| l.used.set(true));
        found
    }

    /// All blocks of a keyword.
    pub fn blocks(&self, keyword: &'static str) -> Vec<&Section> {
        self.asked.borrow_mut().insert(keyword);
        let found: Vec<&Section> = self
            .blocks
            .iter()
            .filter(|b| b.head.words[0] == keyword)
            .collect();
        found.iter().for_each(|b| b.head.used.set(true));
        found
    }

    /// The one line of a keyword, if it is there.
    ///
    /// # Errors
    /// It is there twice.
    pub fn maybe(&self, keyword: &'static str) -> Result<Option<&Line>, Problem> {
        match self.all(keyword)[..] {
            [] => Ok(None),
            [line] => Ok(Some(line)),
            [first, second, ..] => Err(second.wrong(&format!(
                "'{keyword}' once (it is in line {})",
                first.number
            ))),
        }
    }

    /// # Errors
    /// It is not there, or twice.
    pub fn one(&self, keyword: &'static str) -> Result<&Line, Problem> {
        self.maybe(keyword)?.ok_or_else(|| self.lacks(keyword))
    }

    /// The value of a keyword that has one.
    ///
    /// # Errors
    /// It is there twice, or its value cannot be read.
    pub fn maybe_value<T: Value>(&self, keyword: &'static str) -> Result<Option<T>, Problem> {
        self.maybe(keyword)?.map(Line::only).transpose()
    }

    /// # Errors
    /// As `maybe_value`, or it is not there.
    pub fn value<T: Value>(&self, keyword: &'static str) -> Result<T, Problem> {
        self.one(keyword)?.only()
    }

    /// # Errors
    /// As `maybe_value`.
    pub fn value_or<T: Value>(&self, keyword: &'static str, absent: T) -> Result<T, Problem> {
        Ok(self.maybe_value(keyword)?.unwrap_or(absent))
    }

    pub fn lacks(&self, keyword: &str) -> Problem {
        let (file, line) = (self.head.file.clone(), self.head.number);
        let found = format!("none in {}", self.head.words.join(" "));
        Problem {
            file,
            line,
            expected: format!("a line '{keyword} …'"),
            found,
        }
    }

    /// # Errors
    /// Something is here that nobody asked for.
    pub fn nothing_else(&self) -> Result<(), Problem> {
        let heads = self.blocks.iter().map(|b| &b.head);
        let unused = self
            .lines
            .iter()
            .chain(heads)
            .filter(|l| !l.used.get())
            .min_by_key(|l| l.number);
        match unused {
            None => Ok(()),
            Some(line) => {
                let known: Vec<&str> = self.asked.borrow().iter().copied().collect();
                Err(line.wrong(&format!("one of: {}", known.join(", "))))
            }
        }
    }
}

impl Line {
    pub fn wrong(&self, expected: &str) -> Problem {
        let found = format!("'{}'", self.words.join(" "));
        Problem {
            file: self.file.clone(),
            line: self.number,
            expected: expected.to_owned(),
            found,
        }
    }

    /// The `at`-th value, from 1; 0 is the keyword.
    ///
    /// # Errors
    /// It is not there, or is none of its kind.
    pub fn value<T: Value>(&self, at: usize) -> Result<T, Problem> {
        let word = self
            .words
            .get(at)
            .ok_or_else(|| self.wrong(&format!("{} as value {at}", T::WHAT)))?;
        T::read(word).ok_or_else(|| self.wrong(&format!("{} in place of '{word}'", T::WHAT)))
    }

    /// The one value.
    ///
    /// # Errors
    /// There is another number of values, or it is none of its kind.
    pub fn only<T: Value>(&self) -> Result<T, Problem> {
        if self.words.len() > 2 {
            return Err(self.wrong(&format!(
                "'{} VALUE', VALUE being {}",
                self.words[0],
                T::WHAT
            )));
        }
        self.value(1)
    }

    /// The value that follows a word of the line, if the word is there.
    ///
    /// # Errors
    /// The value is not there, or is none of its kind.
    pub fn after<T: Value>(&self, word: &str) -> Result<Option<T>, Problem> {
        let at = self.words.iter().skip(1).position(|w| w == word);
        at.map(|at| self.value(at + 2)).transpose()
    }

    /// # Errors
    /// As `after`, or the word is not there.
    pub fn must_after<T: Value>(&self, word: &str) -> Result<T, Problem> {
        self.after(word)?
            .ok_or_else(|| self.wrong(&format!("'{word}' and {}", T::WHAT)))
    }
}

/// What one word can say.
pub trait Value: Sized {
    const WHAT: &'static str;

    fn read(word: &str) -> Option<Self>;
}

/// A time of at least nothing, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Time(pub f64);

impl Value for Time {
    const WHAT: &'static str = "a time (such as 250ms, 1.5s or 2m)";

    fn read(word: &str) -> Option<Self> {
        let at = word.find(|c: char| c.is_ascii_alphabetic())?;
        let (number, unit) = word.split_at(at);
        let unit = match unit {
            "ms" => 1.0,
            "s" => 1000.0,
            "m" => 60_000.0,
            _ => return None,
        };
        number
            .parse::<f64>()
            .ok()
            .map(|n| n * unit)
            .filter(|ms| ms.is_finite() && *ms >= 0.0)
            .map(Time)
    }
}

impl Value for f64 {
    const WHAT: &'static str = "a number of at least 0";

    fn read(word: &str) -> Option<Self> {
        word.parse::<f64>()
            .ok()
            .filter(|n| n.is_finite() && *n >= 0.0)
    }
}

impl Value for String {
    const WHAT: &'static str = "a word";

    fn read(word: &str) -> Option<Self> {
        Some(word.to_owned())
    }
}

impl Value for bool {
    const WHAT: &'static str = "yes or no";

    fn read(word: &str) -> Option<Self> {
        match word {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        }
    }
}

macro_rules! whole {
    ($($kind:ty),*) => {$(
        impl Value for $kind {
            const WHAT: &'static str = "a whole number";

            fn read(word: &str) -> Option<Self> {
                <$kind>::from_str(word).ok()
            }
        }
    )*};
}

whole!(u32, u64, usize);
